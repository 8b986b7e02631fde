#include "rpc/control_wire.h"

#include "base/settings.h"

#include <kj/debug.h>

namespace pistachiowood {

namespace {

SocketAddress readAddress(capnp::Text::Reader value)
{
    const auto parsed = capture([&] { return parseAddress(decodeText(value)); });
    const auto *address = std::get_if<SocketAddress>(&parsed);
    KJ_REQUIRE(address != nullptr, "invalid address in a control message");
    return *address;
}

void encodeMember(const MemberRecord &member, wire::Member::Builder builder)
{
    builder.setVm(encodeText(member.id.value()));
    builder.setZone(encodeText(member.zone.value()));
    builder.setRegion(encodeText(member.region.value()));
    builder.setControl(encodeText(formatAddress(member.control)));
    builder.setTraffic(encodeText(formatAddress(member.traffic)));
    builder.setAdmin(encodeText(formatAddress(member.admin)));
    builder.setIncarnation(member.incarnation.value());
    builder.setState(static_cast<std::uint8_t>(member.state));
    builder.setAppliedVersion(member.appliedVersion.value());
    builder.setStatusDigest(member.statusDigest);
}

MemberRecord decodeMember(wire::Member::Reader reader)
{
    MemberRecord member;
    member.id = VmId(decodeText(reader.getVm()));
    member.zone = ZoneName(decodeText(reader.getZone()));
    member.region = RegionName(decodeText(reader.getRegion()));
    member.control = readAddress(reader.getControl());
    member.traffic = readAddress(reader.getTraffic());
    member.admin = readAddress(reader.getAdmin());
    member.incarnation = Incarnation(reader.getIncarnation());
    KJ_REQUIRE(reader.getState() <= static_cast<std::uint8_t>(MemberState::Dead),
               "unknown member state");
    member.state = static_cast<MemberState>(reader.getState());
    member.appliedVersion = ResourceVersion(reader.getAppliedVersion());
    member.statusDigest = reader.getStatusDigest();
    return member;
}

void encodeMembers(const std::vector<MemberRecord> &members,
                   capnp::List<wire::Member>::Builder builder)
{
    for (unsigned i = 0; i < members.size(); ++i)
        encodeMember(members[i], builder[i]);
}

std::vector<MemberRecord> decodeMembers(capnp::List<wire::Member>::Reader reader)
{
    KJ_REQUIRE(reader.size() <= maxMembers, "too many members in one message");
    std::vector<MemberRecord> members;
    members.reserve(reader.size());
    for (const auto member : reader)
        members.push_back(decodeMember(member));
    return members;
}

void encodeBody(const GossipBody &body, wire::GossipBody::Builder builder)
{
    encodeMember(body.sender, builder.initSender());
    encodeMembers(body.updates, builder.initUpdates(static_cast<unsigned>(body.updates.size())));
    builder.setSummaryVersion(body.versions.version.value());
    builder.setRosterDigest(body.versions.rosterDigest);
    builder.setSummaryBits(
        capnp::Data::Reader(body.versions.bits.data(), body.versions.bits.size()));
}

GossipBody decodeBody(wire::GossipBody::Reader reader)
{
    GossipBody body;
    body.sender = decodeMember(reader.getSender());
    body.updates = decodeMembers(reader.getUpdates());
    body.versions.version = ResourceVersion(reader.getSummaryVersion());
    body.versions.rosterDigest = reader.getRosterDigest();
    const auto bits = reader.getSummaryBits();
    body.versions.bits.assign(bits.begin(), bits.end());
    return body;
}

struct GossipEncoder
{
    void operator()(const Ping &ping)
    {
        encodeBody(ping.body, builder.initBody());
        builder.setSequence(ping.sequence);
        builder.setPing();
    }
    void operator()(const Ack &ack)
    {
        encodeBody(ack.body, builder.initBody());
        builder.setSequence(ack.sequence);
        builder.setAck(encodeText(ack.responder.value()));
    }
    void operator()(const PingRequest &request)
    {
        encodeBody(request.body, builder.initBody());
        builder.setSequence(request.sequence);
        auto group = builder.initPingRequest();
        group.setTarget(encodeText(request.target.value()));
        group.setTargetAddress(encodeText(formatAddress(request.targetAddress)));
    }
    void operator()(const JoinRequest &request)
    {
        encodeBody(request.body, builder.initBody());
        builder.setJoin();
    }
    void operator()(const JoinAnswer &answer)
    {
        encodeBody(answer.body, builder.initBody());
        encodeMembers(answer.members,
                      builder.initJoinAnswer(static_cast<unsigned>(answer.members.size())));
    }

    wire::GossipMessage::Builder builder;
};

} // namespace

void encodeGossip(const GossipMessage &message, wire::GossipMessage::Builder builder)
{
    std::visit(GossipEncoder{builder}, message);
}

GossipMessage decodeGossip(wire::GossipMessage::Reader reader)
{
    GossipBody body = decodeBody(reader.getBody());
    const std::uint64_t sequence = reader.getSequence();
    switch (reader.which()) {
    case wire::GossipMessage::PING:
        return Ping{sequence, std::move(body)};
    case wire::GossipMessage::ACK:
        return Ack{sequence, VmId(decodeText(reader.getAck())), std::move(body)};
    case wire::GossipMessage::PING_REQUEST: {
        const auto group = reader.getPingRequest();
        return PingRequest{sequence, VmId(decodeText(group.getTarget())),
                           readAddress(group.getTargetAddress()), std::move(body)};
    }
    case wire::GossipMessage::JOIN:
        return JoinRequest{std::move(body)};
    case wire::GossipMessage::JOIN_ANSWER:
        return JoinAnswer{std::move(body), decodeMembers(reader.getJoinAnswer())};
    }
    KJ_FAIL_REQUIRE("unknown gossip message");
}

void encodeObjects(const std::vector<StoredObject> &objects,
                   capnp::List<wire::StoredObject>::Builder builder)
{
    for (unsigned i = 0; i < objects.size(); ++i) {
        const std::string kind(objectKindName(objects[i].kind));
        builder[i].setKind(encodeText(kind));
        builder[i].setName(encodeText(objects[i].name));
        builder[i].setVersion(objects[i].version.value());
        builder[i].setOperationId(encodeText(objects[i].operationId));
        builder[i].setJson(encodeText(objects[i].json));
    }
}

std::vector<StoredObject> decodeObjects(capnp::List<wire::StoredObject>::Reader reader)
{
    std::vector<StoredObject> objects;
    objects.reserve(reader.size());
    for (const auto object : reader) {
        const auto kind = capture([&] { return parseObjectKind(decodeText(object.getKind())); });
        if (!std::holds_alternative<ObjectKind>(kind))
            continue; // a newer daemon may send kinds that this one does not know
        objects.push_back({std::get<ObjectKind>(kind), decodeText(object.getName()),
                           ResourceVersion(object.getVersion()),
                           decodeText(object.getOperationId()), decodeText(object.getJson())});
    }
    return objects;
}

} // namespace pistachiowood
