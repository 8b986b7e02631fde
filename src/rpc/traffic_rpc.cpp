#include "rpc/traffic_rpc.h"

#include "rpc/peer.capnp.h"
#include "rpc/rpc_host.h"

#include <map>
#include <utility>

namespace pistachiowood {

namespace {

// Added to the remaining time: the owner may answer just at its deadline, and the answer still has
// to travel back.
constexpr Milliseconds answerTransitTime{50};

kj::StringPtr encodeText(const std::string &value)
{
    return {value.c_str(), value.size()};
}

std::string decodeText(capnp::Text::Reader value)
{
    return {value.cStr(), value.size()};
}

// Values above the last enumerator, which only newer daemons send, are read as the last one.
template <typename Enum>
Enum decodeEnum(std::uint8_t value, Enum last)
{
    return value > static_cast<std::uint8_t>(last) ? last : static_cast<Enum>(value);
}

void encode(const AttemptRequest &request, wire::AttemptRequest::Builder builder)
{
    builder.setOperation(static_cast<std::uint8_t>(request.operation));
    builder.setService(encodeText(request.service.value()));
    builder.setEndpoint(encodeText(request.endpoint.value()));
    builder.setTerm(request.term.value());
    builder.setKind(static_cast<std::uint8_t>(request.kind));
    builder.setStatement(encodeText(request.statement));
    builder.setRequestId(encodeText(request.requestId.value()));
    builder.setFairnessKey(encodeText(request.fairnessKey));
    builder.setRemainingMs(request.remaining.count());
    if (request.transaction)
        builder.setTransaction(encodeText(request.transaction->value()));
    builder.setMinPosition(request.minPosition.value());
    builder.setMaxAgeMs(request.maxAge.count());
}

AttemptRequest decode(wire::AttemptRequest::Reader reader)
{
    AttemptRequest request;
    request.operation = decodeEnum(reader.getOperation(), AttemptOperation::Resolve);
    request.service = ServiceName(decodeText(reader.getService()));
    request.endpoint = EndpointId(decodeText(reader.getEndpoint()));
    request.term = Term(reader.getTerm());
    request.kind = decodeEnum(reader.getKind(), StatementKind::Write);
    request.statement = decodeText(reader.getStatement());
    request.requestId = RequestId(decodeText(reader.getRequestId()));
    request.fairnessKey = decodeText(reader.getFairnessKey());
    request.remaining = Milliseconds(reader.getRemainingMs());
    if (reader.getTransaction().size() > 0)
        request.transaction = TransactionId(decodeText(reader.getTransaction()));
    request.minPosition = LogPosition(reader.getMinPosition());
    request.maxAge = Milliseconds(reader.getMaxAgeMs());
    return request;
}

void encode(const AttemptAnswer &answer, wire::AttemptAnswer::Builder builder)
{
    builder.setState(static_cast<std::uint8_t>(answer.state));
    builder.setResult(encodeText(answer.result));
    auto report = builder.initReport();
    report.setTerm(answer.report.term.value());
    report.setPosition(answer.report.position.value());
    report.setLastEntryTerm(answer.report.lastEntryTerm.value());
    report.setIsPrimary(answer.report.role == EndpointRole::Primary);
    report.setAgeMs(answer.report.age.count());
    builder.setEntryPosition(answer.entryPosition.value());
    builder.setDurable(answer.durable);
    builder.setDuplicate(answer.duplicate);
    builder.setResolvedCommitted(answer.resolvedCommitted);
    if (answer.transaction)
        builder.setTransaction(encodeText(answer.transaction->value()));
    builder.setRefusal(static_cast<std::uint8_t>(answer.refusal));
    builder.setErrorCode(static_cast<std::uint8_t>(answer.error.code));
    builder.setErrorMessage(encodeText(answer.error.message));
}

AttemptAnswer decode(wire::AttemptAnswer::Reader reader)
{
    AttemptAnswer answer;
    answer.state = decodeEnum(reader.getState(), AttemptState::Uncertain);
    answer.result = decodeText(reader.getResult());
    const auto report = reader.getReport();
    answer.report = {Term(report.getTerm()), LogPosition(report.getPosition()),
                     Term(report.getLastEntryTerm()),
                     report.getIsPrimary() ? EndpointRole::Primary : EndpointRole::Replica,
                     Milliseconds(report.getAgeMs())};
    answer.entryPosition = LogPosition(reader.getEntryPosition());
    answer.durable = reader.getDurable();
    answer.duplicate = reader.getDuplicate();
    answer.resolvedCommitted = reader.getResolvedCommitted();
    if (reader.getTransaction().size() > 0)
        answer.transaction = TransactionId(decodeText(reader.getTransaction()));
    answer.refusal = decodeEnum(reader.getRefusal(), EndpointRefusal::Other);
    answer.error = {decodeEnum(reader.getErrorCode(), ErrorCode::Internal),
                    decodeText(reader.getErrorMessage())};
    return answer;
}

class TrafficServer final : public wire::Traffic::Server
{
public:
    TrafficServer(EventLoop &loop, const TrafficRpc::Handler &handler,
                  std::function<void(RpcHost::Task)> post)
        : loop_(loop)
        , handler_(handler)
        , post_(std::move(post))
    {
    }

    kj::Promise<void> execute(ExecuteContext context) override
    {
        auto pair = kj::newPromiseAndFulfiller<AttemptAnswer>();
        // The fulfiller must stay in the RPC thread; an answer that arrives after the host has
        // stopped is dropped.
        const std::uint64_t call = ++lastCall_;
        pending_.emplace(call, kj::mv(pair.fulfiller));
        loop_.post([this, call, post = post_, request = decode(context.getParams().getRequest())] {
            handler_(request, [this, call, post](AttemptAnswer answer) {
                post([this, call, answer = std::move(answer)](RpcHost::Context &) {
                    finish(call, answer);
                });
            });
        });
        return pair.promise.then([context](AttemptAnswer answer) mutable {
            encode(answer, context.getResults().initAnswer());
        });
    }

private:
    void finish(std::uint64_t call, const AttemptAnswer &answer)
    {
        if (auto node = pending_.extract(call))
            node.mapped()->fulfill(AttemptAnswer(answer));
    }

    EventLoop &loop_;
    const TrafficRpc::Handler &handler_;
    std::function<void(RpcHost::Task)> post_;
    std::uint64_t lastCall_ = 0;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<AttemptAnswer>>> pending_;
};

} // namespace

struct TrafficRpc::Private
{
    EventLoop &loop;
    Handler handler;
    RpcHost host;
};

TrafficRpc::TrafficRpc(EventLoop &loop, Handler handler)
    : private_(new Private{loop, std::move(handler), {}})
{
}

TrafficRpc::~TrafficRpc() = default;

Result<void> TrafficRpc::listen(const SocketAddress &address)
{
    return private_->host.listen(
        address, ConnectionClass::TrafficRpc, [this]() -> capnp::Capability::Client {
            return wire::Traffic::Client(kj::heap<TrafficServer>(private_->loop, private_->handler,
                                                                 private_->host.poster()));
        });
}

std::uint16_t TrafficRpc::port() const
{
    return private_->host.port();
}

void TrafficRpc::execute(const SocketAddress &peer, const AttemptRequest &request,
                         AttemptCallback callback)
{
    const auto finish = [loop = &private_->loop,
                         callback = std::move(callback)](AttemptAnswer answer) {
        loop->post([callback, answer = std::move(answer)] { callback(answer); });
    };
    private_->host.post([peer, request, finish](RpcHost::Context &context) {
        auto sent = std::make_shared<bool>(false);
        auto call = context.connect(peer).then([request, sent](capnp::Capability::Client client) {
            auto message = client.castAs<wire::Traffic>().executeRequest();
            encode(request, message.initRequest());
            *sent = true;
            return message.send().then([](capnp::Response<wire::Traffic::ExecuteResults> response) {
                return decode(response.getAnswer());
            });
        });
        const auto limit = (request.remaining + answerTransitTime).count() * kj::MILLISECONDS;
        context.run(
            context.timer()
                .timeoutAfter(limit, kj::mv(call))
                // kj keeps a reference to a functor that is an lvalue, so both are temporaries.
                .then(
                    [finish](AttemptAnswer answer) { finish(std::move(answer)); },
                    [finish, sent](kj::Exception &&failure) {
                        AttemptAnswer answer;
                        answer.state = *sent ? AttemptState::Uncertain : AttemptState::NotExecuted;
                        answer.ownerUnreachable = !*sent;
                        answer.error = {*sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
                                        std::string("the owning daemon did not answer: ")
                                            + failure.getDescription().cStr()};
                        finish(answer);
                    }));
    });
}

} // namespace pistachiowood
