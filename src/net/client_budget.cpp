#include "net/client_budget.h"

namespace pistachiowood {

namespace {

// Share of the budget above which reading stops; the rest is for what is read already.
constexpr std::size_t pressureNumerator = 3;
constexpr std::size_t pressureDenominator = 4;
constexpr std::size_t maxShareDivisor = 2; // of one client
// Usual statements stay below this, so that their clients are read from also under pressure.
constexpr std::size_t smallHolderBytes = 64 * 1024;
// A message of 1 MiB takes 0.8 s on the slowest link (10 Mbit/s); pressure of such a burst passes.
constexpr Milliseconds toleratedPressure{1000};
// Pause between two closures under pressure, in which the memory of the first is returned.
constexpr Milliseconds closeInterval{100};

} // namespace

void ClientBudget::add(ClientId client)
{
    if (!held_.emplace(client, 0).second)
        return;
    byHeld_.emplace(0, client);
    notStarted_.insert(client);
}

void ClientBudget::remove(ClientId client)
{
    const auto found = held_.find(client);
    if (found == held_.end())
        return;
    total_ -= found->second;
    byHeld_.erase({found->second, client});
    held_.erase(found);
    notStarted_.erase(client);
}

void ClientBudget::setHeld(ClientId client, std::size_t bytes)
{
    const auto found = held_.find(client);
    if (found == held_.end() || found->second == bytes)
        return;
    byHeld_.erase({found->second, client});
    byHeld_.emplace(bytes, client);
    total_ = total_ - found->second + bytes;
    found->second = bytes;
}

bool ClientBudget::isUnderPressure() const
{
    return total_ > limits_.memoryBytes / pressureDenominator * pressureNumerator;
}

bool ClientBudget::mayRead(ClientId client) const
{
    const auto found = held_.find(client);
    return found != held_.end() && (found->second <= smallHolderBytes || !isUnderPressure());
}

std::optional<ClientBudget::ClientId> ClientBudget::chooseToClose(TimePoint now)
{
    if (!isUnderPressure())
        pressureSince_.reset();
    else if (!pressureSince_)
        pressureSince_ = now;
    if (byHeld_.empty())
        return std::nullopt;
    const auto [bytes, client] = *byHeld_.rbegin();
    if (total_ > limits_.memoryBytes || bytes > limits_.memoryBytes / maxShareDivisor)
        return client;
    if (!pressureSince_ || now - *pressureSince_ < toleratedPressure || now < nextClose_)
        return std::nullopt;
    nextClose_ = now + closeInterval;
    return client;
}

std::optional<ClientBudget::ClientId> ClientBudget::oldestNotStarted() const
{
    if (notStarted_.empty())
        return std::nullopt;
    return *notStarted_.begin();
}

} // namespace pistachiowood
