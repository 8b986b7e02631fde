#ifndef PISTACHIOWOOD_TAKEOVER_LINK_TRAFFIC_H
#define PISTACHIOWOOD_TAKEOVER_LINK_TRAFFIC_H

#include "takeover/store_call_counts.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace pistachiowood {

/// What bytes between daemons are for. The copies are in the order of ObjectGroup.
enum class PeerPurpose {
    Reports,
    ConfigurationCopies,
    EndpointCopies,
    RecordCopies,
    Promises, ///< reports that ask for a promise or give one
    Allotments
};
inline constexpr std::size_t peerPurposeCount = 6;

enum class TrafficDirection { Sent, Received };

/// How an exchange with a peer ended.
enum class ExchangeEnd { InTime, Late, GivenUp };

/// Process-wide counts of the encoded bytes between daemons, of the exchanges that this daemon
/// started, and of the bytes of the store's answers. Updated from any thread.
class LinkTraffic
{
public:
    struct Counts
    {
        std::array<std::array<std::uint64_t, 2>, peerPurposeCount> bytes{}; ///< by TrafficDirection
        std::uint64_t exchanges = 0; ///< sent
        std::array<std::uint64_t, 3> ends{}; ///< indexed by ExchangeEnd
        std::uint64_t withheld = 0; ///< copies that this daemon did not send yet
        std::array<std::uint64_t, 4> storeAnswers{}; ///< bytes, indexed by StoreCall

        std::uint64_t of(PeerPurpose purpose, TrafficDirection direction) const
        {
            return bytes.at(index(purpose)).at(index(direction));
        }
        std::uint64_t of(ExchangeEnd end) const { return ends.at(index(end)); }
        std::uint64_t of(StoreCall call) const { return storeAnswers.at(index(call)); }

        friend bool operator==(const Counts &, const Counts &) = default;
    };

    static LinkTraffic &ofProcess();

    void addPeerBytes(PeerPurpose purpose, TrafficDirection direction, std::size_t bytes)
    {
        bytes_.at(index(purpose)).at(index(direction)) += bytes;
    }
    void addExchange() { ++exchanges_; }
    void addExchangeEnd(ExchangeEnd end) { ++ends_.at(index(end)); }
    void addWithheldCopy() { ++withheld_; }
    void addStoreAnswer(StoreCall call, std::size_t bytes) { answers_.at(index(call)) += bytes; }
    /// Returns the counts since the last call of this function or of log().
    Counts take();
    /// Logs the counts since the last call of this function as one event, if there are any.
    void log();

private:
    using Count = std::atomic<std::uint64_t>;

    static std::size_t index(auto value) { return static_cast<std::size_t>(value); }

    std::array<std::array<Count, 2>, peerPurposeCount> bytes_{};
    Count exchanges_{0};
    std::array<Count, 3> ends_{}; ///< indexed by ExchangeEnd
    Count withheld_{0};
    std::array<Count, 4> answers_{}; ///< indexed by StoreCall
};

} // namespace pistachiowood

#endif
