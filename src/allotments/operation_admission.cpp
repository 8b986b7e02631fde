#include "allotments/operation_admission.h"

#include "base/log.h"

#include <cmath>
#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds tickInterval{
    10}; // a wait of 50 ms, of a target latency of 200 ms, ends in time
constexpr Milliseconds logInterval{5000}; // at most one line for each customer that was active
constexpr unsigned maxRefusalLines = 10; // in that time

} // namespace

OperationAdmission::OperationAdmission(EventLoop &loop, const Clock &clock, RandomSource &random)
    : loop_(loop)
    , clock_(clock)
    , random_(random)
    , holder_(std::make_unique<AllotmentHolder>(AllotmentSettings{}, random))
{
}

OperationAdmission::~OperationAdmission()
{
    *alive_ = false;
}

void OperationAdmission::setSettings(AllotmentSettings settings)
{
    holder_ = std::make_unique<AllotmentHolder>(settings, random_);
    holder_->setCustomers(customers_, daemonCount_, clock_.now());
}

void OperationAdmission::setSender(Sender sender)
{
    sender_ = std::move(sender);
}

void OperationAdmission::setCustomers(std::shared_ptr<const CustomerDirectory> customers,
                                      std::size_t daemonCount)
{
    customers_ = std::move(customers);
    daemonCount_ = daemonCount;
    holder_->setCustomers(customers_, daemonCount_, clock_.now());
    if (holder_->hasLimits() && sender_ && !std::exchange(ticking_, true))
        tick();
}

OperationAdmission::Verdict OperationAdmission::request(const CustomerName &customer,
                                                        Milliseconds longestWait, Callback callback)
{
    if (!sender_ || !holder_->hasLimits())
        return {};
    const TimePoint now = clock_.now();
    const AdmissionVerdict verdict = holder_->admit(customer, now);
    if (verdict != AdmissionVerdict::Wait)
        return {verdict};
    waiting_.push_back({++lastTicket_, customer, now + longestWait, std::move(callback)});
    // Answers of this daemon's own coordinator must not arrive before this function returns.
    loop_.post([this, alive = alive_] {
        if (*alive)
            sendRequests();
    });
    return {verdict, lastTicket_};
}

void OperationAdmission::cancel(Ticket ticket)
{
    for (auto item = waiting_.begin(); item != waiting_.end(); ++item) {
        if (item->ticket == ticket) {
            holder_->stopWaiting(item->customer);
            waiting_.erase(item);
            return;
        }
    }
}

void OperationAdmission::handleAnswer(const std::vector<GroupGrants> &answered,
                                      const std::vector<unsigned> &failed)
{
    const TimePoint now = clock_.now();
    for (const GroupGrants &grants : answered)
        holder_->handleGrants(grants, now);
    for (const unsigned group : failed)
        holder_->handleFailure(group, now);
    resumeWaiting();
    sendRequests();
}

void OperationAdmission::sendRequests()
{
    if (auto needs = holder_->takeRequests(clock_.now()); !needs.empty())
        sender_(std::move(needs));
}

void OperationAdmission::resumeWaiting()
{
    const TimePoint now = clock_.now();
    std::vector<std::pair<Callback, bool>> decided;
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        const AdmissionVerdict verdict = holder_->resume(item->customer, now);
        const bool late = now >= item->deadline;
        if (verdict == AdmissionVerdict::Wait && !late) {
            ++item;
            continue;
        }
        if (verdict == AdmissionVerdict::Wait)
            holder_->stopWaiting(item->customer);
        decided.emplace_back(std::move(item->callback), verdict == AdmissionVerdict::Admit);
        item = waiting_.erase(item);
    }
    // A callback may ask for the next operation of its session.
    for (const auto &[callback, admitted] : decided)
        callback(admitted);
}

void OperationAdmission::tick()
{
    resumeWaiting();
    sendRequests();
    if (clock_.now() >= nextLog_)
        logCounts();
    loop_.startTimer(tickInterval, [this, alive = alive_] {
        if (*alive)
            tick();
    });
}

void OperationAdmission::logRefusal(const std::string &id, const CustomerName &customer)
{
    if (refusalsLogged_++ >= maxRefusalLines)
        return;
    const auto *entry = customers_ ? customers_->find(customer) : nullptr;
    const double limit = entry && entry->limit ? entry->limit->ratePerSecond : 0;
    logEvent(Event::OperationRefused,
             {{"id", id},
              {"customer", customer.value()},
              {"limit_per_s", std::lround(limit)},
              {"leased_per_s", std::lround(holder_->leasedRate(customer))}});
}

void OperationAdmission::logCounts()
{
    refusalsLogged_ = 0;
    nextLog_ = clock_.now() + logInterval;
    const std::uint64_t requests = holder_->requests();
    for (const auto &[name, counts] : holder_->counts()) {
        AdmissionCounts &logged = logged_[name];
        if (counts.admitted == logged.admitted && counts.refused == logged.refused)
            continue;
        logEvent(Event::AllotmentCounted, {{"customer", name.value()},
                                           {"admitted", counts.admitted - logged.admitted},
                                           {"refused", counts.refused - logged.refused},
                                           {"leased_per_s", std::lround(holder_->leasedRate(name))},
                                           {"asks", requests - loggedRequests_}});
        logged = counts;
    }
    loggedRequests_ = requests;
}

} // namespace pistachiowood
