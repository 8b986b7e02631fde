#include "rpc/peer_rpc.h"

#include "base/address.h"
#include "rpc/allotment_wire.h"
#include "rpc/control_wire.h"
#include "rpc/loop_calls.h"
#include "rpc/rpc_host.h"
#include "takeover/link_traffic.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace pistachiowood {

namespace {

// Time after the timeout of an exchange for which its answer is still accepted. Of each peer, only
// one answer is awaited for longer than the timeout: a peer that was cut off gets all requests of
// that time at once, and answers those that were not cancelled.
constexpr auto lateAnswerLimit = 10 * kj::SECONDS;

// Exchange that this daemon has started. Used in the RPC thread only.
struct PendingExchange
{
    bool ended = false; ///< it was answered or has failed
    bool overdue = false; ///< the timeout has passed before that
    kj::Canceler canceler; ///< of the answer
};

// Encodes an age that is unknown.
constexpr std::int64_t unknownAgeMs = -1;

std::int64_t encodeAge(const std::optional<Milliseconds> &age)
{
    return age ? age->count() : unknownAgeMs;
}

std::optional<Milliseconds> decodeAge(std::int64_t milliseconds)
{
    if (milliseconds < 0)
        return std::nullopt;
    return Milliseconds(milliseconds);
}

void encodeItem(const StoredItem &item, wire::StoredObject::Builder builder)
{
    builder.setName(encodeText(item.name));
    builder.setVersion(item.version.stored.revision.value());
    builder.setEra(item.version.stored.era.value());
    builder.setIncarnation(item.version.written.incarnation);
    builder.setChange(item.version.written.change);
    builder.setJson(encodeText(item.text));
}

StoredItem decodeItem(wire::StoredObject::Reader reader)
{
    return {decodeText(reader.getName()),
            {{StoreEra(reader.getEra()), ResourceVersion(reader.getVersion())},
             {reader.getIncarnation(), reader.getChange()}},
            decodeText(reader.getJson())};
}

void encodeCopy(const GroupCopy &copy, wire::GroupCopy::Builder builder)
{
    builder.setVersion(copy.version.revision.value());
    builder.setEra(copy.version.era.value());
    builder.setPresent(true);
    builder.setPartial(copy.since.has_value());
    if (copy.since)
        builder.setSince(copy.since->revision.value());
    auto removed = builder.initRemoved(static_cast<unsigned>(copy.removed.size()));
    for (unsigned i = 0; i < removed.size(); ++i)
        removed.set(i, encodeText(copy.removed.at(i)));
    auto items = builder.initItems(static_cast<unsigned>(copy.items.size()));
    for (unsigned i = 0; i < items.size(); ++i)
        encodeItem(copy.items.at(i), items[i]);
    auto carried = builder.initCarried(static_cast<unsigned>(copy.carried.size()));
    for (unsigned i = 0; i < carried.size(); ++i)
        encodeItem(copy.carried.at(i), carried[i]);
    auto known = builder.initKnown(static_cast<unsigned>(copy.known.size()));
    for (unsigned i = 0; i < known.size(); ++i)
        known.set(i, copy.known.at(i));
}

GroupCopy decodeCopy(ObjectGroup group, wire::GroupCopy::Reader reader)
{
    const StoreEra era(reader.getEra());
    GroupCopy copy{.group = group, .version = {era, ResourceVersion(reader.getVersion())}};
    if (reader.getPartial())
        copy.since = StoreVersion{era, ResourceVersion(reader.getSince())};
    for (const auto name : reader.getRemoved())
        copy.removed.push_back(decodeText(name));
    for (const auto item : reader.getItems())
        copy.items.push_back(decodeItem(item));
    for (const auto item : reader.getCarried())
        copy.carried.push_back(decodeItem(item));
    for (const auto digest : reader.getKnown())
        copy.known.push_back(digest);
    return copy;
}

void encodeReport(const PeerReport &report, wire::PeerReport::Builder builder)
{
    builder.setVm(encodeText(report.vm.value()));
    auto versions = builder.initVersions(objectGroupCount);
    auto eras = builder.initEras(objectGroupCount);
    auto digests = builder.initCarriedDigests(objectGroupCount);
    for (unsigned i = 0; i < objectGroupCount; ++i) {
        const ReplicaState &replica = report.replicas.at(i);
        versions.set(i, replica.content.revision.value());
        eras.set(i, replica.content.era.value());
        digests.set(i, replica.carried);
    }
    builder.setObeyedRecords(report.appliedRecords.revision.value());
    builder.setObeyedEra(report.appliedRecords.era.value());
    builder.setConfirmedAgeMs(encodeAge(report.confirmedAge));
    builder.setStoreConfirmedAgeMs(encodeAge(report.storeConfirmedAge));
    builder.setConfirmedEra(report.confirmedEra.value());
    builder.setPromise(report.promise);
    builder.setWantsEra(report.wantsEra);
    builder.setWantsWhole(report.wantsWhole);
    builder.setWantsConfiguration(report.wantsConfiguration);
    builder.setDeclinesCopies(report.declinesCopies);
    auto primaries = builder.initPrimaries(static_cast<unsigned>(report.primaries.size()));
    for (unsigned i = 0; i < primaries.size(); ++i) {
        const PrimaryReport &primary = report.primaries.at(i);
        primaries[i].setService(encodeText(primary.service.value()));
        primaries[i].setEndpoint(encodeText(primary.endpoint.value()));
        primaries[i].setReplyAgeMs(encodeAge(primary.replyAge));
        primaries[i].setFailingAgeMs(encodeAge(primary.failingAge));
        primaries[i].setEpoch(primary.primaryEpoch);
        primaries[i].setPositionAgeMs(primary.position ? primary.positionAge.count()
                                                       : unknownAgeMs);
        if (primary.position) {
            primaries[i].setTerm(primary.position->term.value());
            primaries[i].setPosition(primary.position->number.value());
        }
    }
    // The list has one entry per object group; a group that the receiver does not need stays empty.
    auto copies = builder.initCopies(objectGroupCount);
    for (const GroupCopy &copy : report.copies)
        encodeCopy(copy, copies[static_cast<unsigned>(copy.group)]);
}

PeerReport decodeReport(wire::PeerReport::Reader reader)
{
    PeerReport report;
    report.vm = VmId(decodeText(reader.getVm()));
    const auto versions = reader.getVersions();
    const auto eras = reader.getEras();
    const auto digests = reader.getCarriedDigests();
    for (unsigned i = 0; i < versions.size() && i < objectGroupCount; ++i) {
        // Daemons of earlier versions send neither eras nor digests.
        report.replicas.at(i) = {
            {StoreEra(i < eras.size() ? eras[i] : 0), ResourceVersion(versions[i])},
            i < digests.size() ? digests[i] : 0};
    }
    report.appliedRecords = {StoreEra(reader.getObeyedEra()),
                             ResourceVersion(reader.getObeyedRecords())};
    report.confirmedAge = decodeAge(reader.getConfirmedAgeMs());
    report.storeConfirmedAge = decodeAge(reader.getStoreConfirmedAgeMs());
    report.confirmedEra = StoreEra(reader.getConfirmedEra());
    report.promise = reader.getPromise();
    report.wantsEra = reader.getWantsEra();
    report.wantsWhole = reader.getWantsWhole();
    report.wantsConfiguration = reader.getWantsConfiguration();
    report.declinesCopies = reader.getDeclinesCopies();
    for (const auto primary : reader.getPrimaries()) {
        PrimaryReport &entry = report.primaries.emplace_back();
        entry.service = ServiceName(decodeText(primary.getService()));
        entry.endpoint = EndpointId(decodeText(primary.getEndpoint()));
        entry.replyAge = decodeAge(primary.getReplyAgeMs());
        entry.failingAge = decodeAge(primary.getFailingAgeMs());
        entry.primaryEpoch = primary.getEpoch();
        if (const auto age = decodeAge(primary.getPositionAgeMs())) {
            entry.position =
                TermPosition{Term(primary.getTerm()), LogPosition(primary.getPosition())};
            entry.positionAge = *age;
        }
    }
    const auto copies = reader.getCopies();
    for (unsigned i = 0; i < copies.size() && i < objectGroupCount; ++i) {
        if (copies[i].getPresent())
            report.copies.push_back(decodeCopy(static_cast<ObjectGroup>(i), copies[i]));
    }
    return report;
}

// Counts the encoded bytes of the report and of its copies. Returns the report.
wire::PeerReport::Reader countBytes(TrafficDirection direction, wire::PeerReport::Reader report)
{
    const auto bytesOf = [](auto reader) {
        return static_cast<std::size_t>(reader.totalSize().wordCount) * sizeof(capnp::word);
    };
    LinkTraffic &traffic = LinkTraffic::ofProcess();
    std::size_t rest = bytesOf(report);
    const auto copies = report.getCopies();
    for (unsigned i = 0; i < copies.size() && i < objectGroupCount; ++i) {
        if (!copies[i].getPresent())
            continue;
        const std::size_t size = bytesOf(copies[i]);
        const auto first = static_cast<unsigned>(PeerPurpose::ConfigurationCopies);
        traffic.addPeerBytes(static_cast<PeerPurpose>(first + i), direction, size);
        rest -= std::min(rest, size);
    }
    traffic.addPeerBytes(report.getPromise() ? PeerPurpose::Promises : PeerPurpose::Reports,
                         direction, rest);
    return report;
}

class PeerServer final : public wire::Peer::Server
{
public:
    PeerServer(EventLoop &loop, const PeerRpc::Handler &handler,
               const PeerRpc::AllotmentHandler &allotmentHandler,
               std::function<void(RpcHost::Task)> post)
        : handler_(handler)
        , allotmentHandler_(allotmentHandler)
        , invoker_(loop, std::move(post))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        return invoker_
            .call<PeerReport>(
                [this, report = decodeReport(countBytes(TrafficDirection::Received,
                                                        context.getParams().getReport()))] {
                    return handler_(report);
                })
            .then([context](const PeerReport &answer) mutable {
                auto builder = context.getResults().initReport();
                encodeReport(answer, builder);
                countBytes(TrafficDirection::Sent, builder.asReader());
            });
    }

    kj::Promise<void> allot(AllotContext context) override
    {
        return invoker_
            .call<AllotmentAnswer>([this, request = decodeAllotmentRequest(context.getParams())] {
                return allotmentHandler_ ? allotmentHandler_(request) : AllotmentAnswer{};
            })
            .then([context](const AllotmentAnswer &answer) mutable {
                encodeAllotmentAnswer(answer, context.getResults());
            });
    }

private:
    const PeerRpc::Handler &handler_;
    const PeerRpc::AllotmentHandler &allotmentHandler_;
    LoopInvoker invoker_;
};

} // namespace

struct PeerRpc::Private
{
    EventLoop &loop;
    Handler handler;
    AllotmentHandler allotmentHandler;
    std::map<std::string, std::shared_ptr<PendingExchange>> overdue; ///< the last one, by address
    RpcHost host; ///< its thread uses the members above
};

PeerRpc::PeerRpc(EventLoop &loop, Handler handler)
    : private_(new Private{loop, std::move(handler), {}, {}, {}})
{
}

PeerRpc::~PeerRpc() = default;

Result<void> PeerRpc::listen(const SocketAddress &address)
{
    return private_->host.listen(
        address, ConnectionClass::ControlRpc, [this]() -> capnp::Capability::Client {
            return wire::Peer::Client(kj::heap<PeerServer>(private_->loop, private_->handler,
                                                           private_->allotmentHandler,
                                                           private_->host.poster()));
        });
}

void PeerRpc::setAllotmentHandler(AllotmentHandler handler)
{
    private_->allotmentHandler = std::move(handler);
}

void PeerRpc::requestAllotments(const SocketAddress &peer, const AllotmentRequest &request,
                                Milliseconds timeout, AllotmentChannel::Callback callback)
{
    const auto call = [request](wire::Peer::Client client) {
        auto message = client.allotRequest();
        encodeAllotmentRequest(request, message);
        return message.send().then([](auto &&response) { return decodeAllotmentAnswer(response); });
    };
    callPeer<wire::Peer, AllotmentAnswer>(private_->host, private_->loop, peer, timeout, call,
                                          std::move(callback));
}

std::uint16_t PeerRpc::port() const
{
    return private_->host.port();
}

void PeerRpc::exchange(const SocketAddress &peer, const PeerReport &report, Milliseconds timeout,
                       PeerChannel::Callback callback)
{
    LinkTraffic::ofProcess().addExchange();
    const auto call = [report](wire::Peer::Client client) {
        auto request = client.exchangeRequest();
        auto builder = request.initReport();
        encodeReport(report, builder);
        countBytes(TrafficDirection::Sent, builder.asReader());
        return request.send().then([](auto &&response) {
            return decodeReport(countBytes(TrafficDirection::Received, response.getReport()));
        });
    };
    const auto finish = [eventLoop = &private_->loop,
                         callback = std::move(callback)](std::variant<PeerReport, Error> outcome) {
        eventLoop->post([callback, outcome = std::move(outcome)] { callback(outcome); });
    };
    private_->host.post([peer, timeout, call, finish,
                         &overdue = private_->overdue](RpcHost::Context &context) {
        const auto pending = std::make_shared<PendingExchange>();
        auto answer = context.connect(peer).then(
            [call](capnp::Capability::Client client) { return call(client.castAs<wire::Peer>()); });
        const auto limit = timeout.count() * kj::MILLISECONDS;
        context.run(context.timer().afterDelay(limit).then([pending, finish, &overdue, peer] {
            if (pending->ended)
                return;
            pending->overdue = true;
            finish(Error{ErrorCode::Unavailable, "no answer in time"});
            if (const auto former = std::exchange(overdue[formatAddress(peer)], pending))
                former->canceler.cancel("a later exchange is overdue, too");
        }));
        auto limited = context.timer().timeoutAfter(limit + lateAnswerLimit, kj::mv(answer));
        context.run(
            pending->canceler.wrap(kj::mv(limited))
                .then(
                    [pending, finish](PeerReport value) {
                        pending->ended = true;
                        LinkTraffic::ofProcess().addExchangeEnd(
                            pending->overdue ? ExchangeEnd::Late : ExchangeEnd::InTime);
                        finish(std::move(value));
                    },
                    [pending, finish](kj::Exception &&failure) {
                        pending->ended = true;
                        LinkTraffic::ofProcess().addExchangeEnd(ExchangeEnd::GivenUp);
                        if (!pending->overdue)
                            finish(Error{ErrorCode::Unavailable, failure.getDescription().cStr()});
                    }));
    });
}

} // namespace pistachiowood
