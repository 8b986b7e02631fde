#include "rpc/peer_rpc.h"
#include "takeover/link_traffic.h"
#include "takeover/takeover_fixture.h"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <thread>
#include <variant>
#include <vector>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

// Uses up the descriptors of this process while it exists.
class DescriptorShortage
{
public:
    DescriptorShortage()
    {
        getrlimit(RLIMIT_NOFILE, &previous_);
        rlimit lowered = previous_;
        lowered.rlim_cur = 200;
        setrlimit(RLIMIT_NOFILE, &lowered);
        for (int descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC); descriptor >= 0;
             descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC))
            descriptors_.push_back(descriptor);
    }
    ~DescriptorShortage()
    {
        for (const int descriptor : descriptors_)
            close(descriptor);
        setrlimit(RLIMIT_NOFILE, &previous_);
    }
    DescriptorShortage(const DescriptorShortage &) = delete;
    DescriptorShortage &operator=(const DescriptorShortage &) = delete;

private:
    rlimit previous_{};
    std::vector<int> descriptors_;
};

} // namespace

TEST_GROUP(PeerRpc)
{
    EventLoop loop;
    std::optional<PeerReport> answer;
    unsigned errors = 0;

    void runLoop(Milliseconds time)
    {
        loop.startTimer(time, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }

    bool exchange(PeerRpc & from, std::uint16_t port)
    {
        answer.reset();
        PeerReport report;
        report.vm = VmId("caller");
        from.exchange({"127.0.0.1", port}, report, 300ms,
                      [this](std::variant<PeerReport, Error> outcome) {
                          if (const auto *received = std::get_if<PeerReport>(&outcome))
                              answer = *received;
                          else
                              ++errors;
                      });
        runLoop(400ms);
        return answer.has_value();
    }
};

// Guards against a receiver that takes versions of one era of the store for those of another, or
// loses objects that the sender kept.
TEST(PeerRpc, erasAndCarriedObjectsAreLostOnTheWay)
{
    PeerRpc server(loop, [](const PeerReport &) {
        PeerReport report;
        report.replicas.at(2) = {storeVersion(7, 3), 99};
        report.appliedRecords = storeVersion(6, 3);
        report.confirmedEra = StoreEra(2);
        report.copies.push_back({.group = ObjectGroup::Records,
                                 .version = storeVersion(7, 3),
                                 .since = storeVersion(5, 3),
                                 .carried = {storedItem("a", storeVersion(4, 2), 8)},
                                 .known = {5, 7}});
        return report;
    });
    CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
    PeerRpc caller(loop, [](const PeerReport &report) { return report; });
    CHECK_TRUE(!!caller.listen({"127.0.0.1", 0}));
    CHECK_TRUE(exchange(caller, server.port()));
    CHECK_TRUE((answer->replicas.at(2) == ReplicaState{storeVersion(7, 3), 99}));
    CHECK_TRUE(answer->appliedRecords == storeVersion(6, 3));
    CHECK_TRUE(answer->confirmedEra == StoreEra(2));
    const GroupCopy &copy = answer->copies.front();
    CHECK_TRUE(copy.since == storeVersion(5, 3));
    LONGS_EQUAL(2, copy.known.size());
    CHECK_TRUE((copy.carried.front().version == ItemVersion{storeVersion(4, 2), {0, 8}}));
}

// Guards against allotments that are lost or mixed up on the way, and against a sum of rounded
// rates above what the coordinator counts.
TEST(PeerRpc, allotmentsAreChangedOnTheWay)
{
    const AllotmentNeed need{CustomerName("c"), 1.5, 2, 0.5, 0.25, 4, 3};
    PeerRpc server(loop, [](const PeerReport &report) { return report; });
    AllotmentRequest received;
    server.setAllotmentHandler([&](const AllotmentRequest &request) {
        received = request;
        return AllotmentAnswer{
            {{2, GrantKind::TokensOnly, {{CustomerName("c"), {10, 20}, 0.1, 3, 2, 400ms}}}}};
    });
    CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
    PeerRpc caller(loop, [](const PeerReport &report) { return report; });
    CHECK_TRUE(!!caller.listen({"127.0.0.1", 0}));
    std::optional<AllotmentAnswer> allotted;
    caller.requestAllotments({"127.0.0.1", server.port()}, {VmId("v"), 9, {{2, 7, 1000ms, {need}}}},
                             300ms, [&](const std::variant<AllotmentAnswer, Error> &outcome) {
                                 if (const auto *value = std::get_if<AllotmentAnswer>(&outcome))
                                     allotted = *value;
                             });
    runLoop(400ms);
    CHECK_TRUE(allotted.has_value());
    LONGS_EQUAL(9, received.process);
    const GroupNeeds &group = received.groups.front();
    CHECK_TRUE(group.group == 2 && group.sequence == 7 && group.followedFor == 1000ms);
    const AllotmentNeed &got = group.needs.front();
    CHECK_TRUE(got.customer == need.customer && got.waiting == 3);
    CHECK_TRUE(got.rate == 1.5 && got.capacity == 2 && got.level == 0.5);
    CHECK_TRUE(got.returned == 0.25 && got.demand == 4);
    const GroupGrants &grants = allotted->groups.front();
    CHECK_TRUE(grants.group == 2 && grants.kind == GrantKind::TokensOnly);
    const AllotmentGrant &grant = grants.grants.front();
    CHECK_TRUE(grant.limit == (OperationLimit{10, 20}) && grant.refuseFor == 400ms);
    CHECK_TRUE(grant.rate <= 0.1 && grant.rate > 0.0999);
    CHECK_TRUE(grant.capacity == 3 && grant.tokens == 2);
}

// Guards against a daemon that accepts no peer any more after a moment without free descriptors: it
// lost its confirmations until it was restarted.
TEST(PeerRpc, peersAreAcceptedAgainAfterDescriptorShortage)
{
    PeerRpc server(loop, [](const PeerReport &) {
        PeerReport report;
        report.vm = VmId("server");
        return report;
    });
    CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
    PeerRpc caller(loop, [](const PeerReport &report) { return report; });
    CHECK_TRUE(!!caller.listen({"127.0.0.1", 0}));
    // A connection that the server can't accept for want of a descriptor.
    const int waiting = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    {
        const DescriptorShortage shortage;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(waiting, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        runLoop(250ms); // longer than two attempts to accept it
    }
    close(waiting);
    runLoop(300ms);
    CHECK_TRUE(exchange(caller, server.port()));
    CHECK_TRUE(answer->vm == VmId("server"));
}

// Guards against counts that don't show what fills a link: a copy that counts as a report, or a
// late answer that counts as none or is dropped.
TEST(PeerRpc, countsBytesByPurposeAndLateAnswers)
{
    Milliseconds delay{0};
    PeerRpc server(loop, [&](const PeerReport &) {
        std::this_thread::sleep_for(delay);
        PeerReport report;
        report.copies.push_back({.group = ObjectGroup::Records,
                                 .version = storeVersion(7),
                                 .items = {storedItem(std::string(2000, 'a'), storeVersion(7))}});
        return report;
    });
    CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
    PeerRpc caller(loop, [](const PeerReport &report) { return report; });
    CHECK_TRUE(!!caller.listen({"127.0.0.1", 0}));
    LinkTraffic::ofProcess().take();
    CHECK_TRUE(exchange(caller, server.port()));
    delay = 350ms; // longer than the timeout
    exchange(caller, server.port());
    runLoop(100ms);
    LONGS_EQUAL(1, errors); // at the timeout
    CHECK_TRUE(answer.has_value()); // later
    const LinkTraffic::Counts counts = LinkTraffic::ofProcess().take();
    LONGS_EQUAL(2, counts.exchanges);
    LONGS_EQUAL(1, counts.of(ExchangeEnd::InTime));
    LONGS_EQUAL(1, counts.of(ExchangeEnd::Late));
    for (const TrafficDirection direction : {TrafficDirection::Sent, TrafficDirection::Received}) {
        CHECK_TRUE(counts.of(PeerPurpose::RecordCopies, direction) > 2 * 2000);
        CHECK_TRUE(counts.of(PeerPurpose::Reports, direction) > 0);
        CHECK_TRUE(counts.of(PeerPurpose::Reports, direction) < 2000);
        LONGS_EQUAL(0, counts.of(PeerPurpose::ConfigurationCopies, direction));
    }
}
