#ifndef PISTACHIOWOOD_GATEWAY_GATEWAY_FIXTURE_H
#define PISTACHIOWOOD_GATEWAY_GATEWAY_FIXTURE_H

#include "gateway/gateway.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pistachiowood {

/// In-memory endpoints for the tests of the gateway. All statements are recorded. Each one is
/// answered from the event loop as the members below say.
class ScriptedEndpoints final : public EndpointDialer
{
public:
    struct Link final : public EndpointLink
    {
        Link(ScriptedEndpoints &owner, EndpointId endpointId, EndpointLinkListener &linkListener,
             std::size_t linkNumber)
            : endpoints(owner)
            , endpoint(std::move(endpointId))
            , listener(linkListener)
            , number(linkNumber)
        {
        }
        ~Link() override { endpoints.open_.erase(this); }
        void send(const SessionStatement &statement) override
        {
            endpoints.sent.push_back({endpoint, number, statement});
            pending.push_back(statement);
            endpoints.answerLater(this);
        }

        ScriptedEndpoints &endpoints;
        EndpointId endpoint;
        EndpointLinkListener &listener;
        std::size_t number;
        std::deque<SessionStatement> pending;
        SessionPhase phase = SessionPhase::Idle;
    };
    struct Sent
    {
        EndpointId endpoint;
        std::size_t link;
        SessionStatement statement;
    };

    explicit ScriptedEndpoints(EventLoop &eventLoop)
        : loop_(eventLoop)
    {
    }

    std::unique_ptr<EndpointLink> dial(const ServiceName &, const EndpointView &endpoint,
                                       EndpointLinkListener &listener) override
    {
        ++dials;
        auto link = std::make_unique<Link>(*this, endpoint.id, listener, dials);
        open_.insert(link.get());
        loop_.post([this, raw = link.get(), id = endpoint.id] {
            if (open_.count(raw) == 0)
                return;
            if (unreachable.count(id) > 0)
                raw->listener.handleLinkFailed(LinkFailure::Unreachable, "refused");
            else
                raw->listener.handleLinkOpened(position(id));
        });
        return link;
    }

    std::optional<ReplicationStatus> decodeStatus(const StatementReply &) override
    {
        return std::nullopt;
    }

    TermPosition position(const EndpointId &id)
    {
        return {Term(1), LogPosition(positions.count(id) > 0 ? positions[id] : 1)};
    }

    /// Failure that an endpoint returns for reads, writes, executions and commits; others succeed.
    std::map<EndpointId, ReplyCode> failures;
    std::map<EndpointId, ReplyCode> beginFailures;
    std::set<EndpointId> silent; ///< endpoints that receive statements and do not answer
    std::set<EndpointId> unreachable;
    std::map<EndpointId, std::uint64_t> positions;
    std::vector<Sent> sent;
    std::size_t dials = 0;

    /// Number of statements of this kind that the endpoints received.
    std::size_t countSent(Verb verb) const
    {
        std::size_t count = 0;
        for (const Sent &entry : sent)
            count += entry.statement.verb == verb ? 1 : 0;
        return count;
    }

    std::size_t openLinks() const { return open_.size(); }

    void breakLinks(const EndpointId &id)
    {
        const auto links = open_;
        for (Link *link : links) {
            if (open_.count(link) > 0 && link->endpoint == id)
                link->listener.handleLinkFailed(LinkFailure::Lost, "reset");
        }
    }

private:
    void answerLater(Link *link)
    {
        loop_.post([this, link] {
            if (open_.count(link) > 0 && silent.count(link->endpoint) == 0)
                answer(*link);
        });
    }

    void answer(Link &link)
    {
        const SessionStatement statement = link.pending.front();
        link.pending.pop_front();
        StatementReply reply;
        reply.position = position(link.endpoint);
        const bool begins = statement.verb == Verb::Begin || statement.verb == Verb::BeginReadOnly;
        const bool runs = statement.verb == Verb::Read || statement.verb == Verb::Write
                          || statement.verb == Verb::Execute || statement.verb == Verb::Commit;
        if (begins && beginFailures.count(link.endpoint) > 0)
            reply.failure = beginFailures[link.endpoint];
        else if (begins)
            link.phase = SessionPhase::InTransaction;
        if (runs && failures.count(link.endpoint) > 0) {
            reply.failure = failures[link.endpoint];
            if (link.phase == SessionPhase::InTransaction)
                link.phase = SessionPhase::Failed;
        } else if (runs) {
            reply.signature = "signed-" + link.endpoint.value();
        }
        if (statement.verb == Verb::Commit || statement.verb == Verb::Rollback)
            link.phase = SessionPhase::Idle;
        reply.phase = link.phase;
        link.listener.handleLinkReply(reply);
    }

    EventLoop &loop_;
    std::set<Link *> open_;
};

struct RecordingChannel final : public CallerChannel
{
    void sendReply(const StatementReply &reply) override { replies.push_back(reply); }
    void close() override { closed = true; }

    std::vector<StatementReply> replies;
    bool closed = false;
};

} // namespace pistachiowood

#endif
