#include "takeover/fleet_context.h"

#include "takeover/records.h"

namespace pistachiowood {

namespace {

// Configurations up to this size go with every answer to a peer with an older one. The slowest link
// carries 45 of them in 600 ms, the timeout of an exchange.
constexpr std::size_t smallConfigurationBytes = 16384;

} // namespace

std::vector<GroupCopy> FleetContext::copiesFor(const PeerReport &peer, bool eraOnRequest,
                                               const CopyFilter &admits) const
{
    std::vector<GroupCopy> copies;
    // In the order in which the bytes that may be sent are given out.
    for (const ObjectGroup group :
         {ObjectGroup::Records, ObjectGroup::Configuration, ObjectGroup::Endpoints}) {
        const auto i = static_cast<std::size_t>(group);
        const GroupFeed &source = *feeds.at(i);
        const ReplicaState &known = peer.replicas.at(i);
        const GroupReplica &own = source.replica();
        const bool otherEra = known.content.era != own.version().era;
        if (!own.isAheadOf(known) || (otherEra && eraOnRequest && !peer.wantsEra))
            continue;
        const bool unaskedConfiguration =
            group == ObjectGroup::Configuration && !peer.wantsConfiguration;
        // Daemons of a large fleet list the configuration of a later era themselves.
        if (unaskedConfiguration
            && ((otherEra && eraOnRequest) || own.copySize(known) > smallConfigurationBytes))
            continue;
        if (GroupCopy copy = own.copyFor(known, peer.wantsWhole); admits(copy))
            copies.push_back(std::move(copy));
    }
    return copies;
}

void FleetContext::applyCopies(const std::vector<GroupCopy> &copies) const
{
    for (const GroupCopy &copy : copies)
        feed(copy.group).applyCopy(copy);
}

std::vector<EndpointId> FleetContext::endpointsOf(const ServiceName &service) const
{
    std::vector<EndpointId> ids;
    for (const auto &[id, endpoint] : endpoints.endpoints()) {
        if (endpoint.entry.service == service)
            ids.push_back(id);
    }
    return ids;
}

std::uint64_t FleetContext::nextGeneration(const std::string &name) const
{
    return records().replica().lastChangeOf(name).change + 1;
}

void FleetContext::putRecord(const std::string &name, std::optional<StoreVersion> expected,
                             const std::string &text, RecordCallback callback)
{
    const StoreEra era = records().version().era;
    const WriterCount written{0, recordGeneration(text)};
    store.putRecord(name, expected, text, recordWriteTimeout,
                    [this, alive = alive, era, name, written, text,
                     callback = std::move(callback)](const StoreOutcome<StoreVersion> &outcome) {
                        if (!*alive)
                            return;
                        const auto *version = std::get_if<StoreVersion>(&outcome);
                        if (!version) {
                            callback(outcome);
                        } else if (version->era != era || records().version().era != era) {
                            // The store was restored meanwhile: the condition may have held by
                            // chance, or the change may be lost.
                            callback(StoreFailure::NoAnswer);
                        } else {
                            records().applyOwnChange({name, {*version, written}, text});
                            callback(outcome);
                        }
                    });
}

} // namespace pistachiowood
