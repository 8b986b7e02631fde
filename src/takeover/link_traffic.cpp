#include "takeover/link_traffic.h"

#include "base/log.h"

namespace pistachiowood {

LinkTraffic &LinkTraffic::ofProcess()
{
    static LinkTraffic traffic;
    return traffic;
}

LinkTraffic::Counts LinkTraffic::take()
{
    Counts counts;
    for (std::size_t i = 0; i < peerPurposeCount; ++i) {
        for (std::size_t j = 0; j < 2; ++j)
            counts.bytes.at(i).at(j) = bytes_.at(i).at(j).exchange(0);
    }
    counts.exchanges = exchanges_.exchange(0);
    for (std::size_t i = 0; i < ends_.size(); ++i)
        counts.ends.at(i) = ends_.at(i).exchange(0);
    counts.withheld = withheld_.exchange(0);
    for (std::size_t i = 0; i < answers_.size(); ++i)
        counts.storeAnswers.at(i) = answers_.at(i).exchange(0);
    return counts;
}

void LinkTraffic::log()
{
    const Counts counts = take();
    if (counts == Counts())
        return;
    const auto sent = [&](PeerPurpose purpose) {
        return counts.of(purpose, TrafficDirection::Sent);
    };
    const auto received = [&](PeerPurpose purpose) {
        return counts.of(purpose, TrafficDirection::Received);
    };
    logEvent(Event::LinkTrafficCounted,
             {{"reports_sent", sent(PeerPurpose::Reports)},
              {"reports_received", received(PeerPurpose::Reports)},
              {"promises_sent", sent(PeerPurpose::Promises)},
              {"promises_received", received(PeerPurpose::Promises)},
              {"configuration_sent", sent(PeerPurpose::ConfigurationCopies)},
              {"configuration_received", received(PeerPurpose::ConfigurationCopies)},
              {"endpoints_sent", sent(PeerPurpose::EndpointCopies)},
              {"endpoints_received", received(PeerPurpose::EndpointCopies)},
              {"records_sent", sent(PeerPurpose::RecordCopies)},
              {"records_received", received(PeerPurpose::RecordCopies)},
              {"allotments_sent", sent(PeerPurpose::Allotments)},
              {"allotments_received", received(PeerPurpose::Allotments)},
              {"exchanges", counts.exchanges},
              {"in_time", counts.of(ExchangeEnd::InTime)},
              {"late", counts.of(ExchangeEnd::Late)},
              {"given_up", counts.of(ExchangeEnd::GivenUp)},
              {"copies_withheld", counts.withheld},
              {"store_lists", counts.of(StoreCall::List)},
              {"store_watches", counts.of(StoreCall::Watch)},
              {"store_checks", counts.of(StoreCall::Check)},
              {"store_changes", counts.of(StoreCall::Change)}});
}

} // namespace pistachiowood
