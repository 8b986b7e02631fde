#include "base/random.h"
#include "takeover/exchange_pacing.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

constexpr unsigned daemonCount = 146;
constexpr unsigned confirmersPerRegion = 5;
constexpr double vmLinkRate = 5e6 / 8; // bytes/s; statements use the other half of 10 Mbit/s
constexpr double regionLinkRate = 60e6 / 8;
constexpr double reportBytes = 1500; // eight services
constexpr double wholeCopyBytes = 80000; // 146 members, 24 endpoints, configuration
constexpr double changeBytes = 300;
constexpr unsigned historyVersion = 15; // newest one at second 7
constexpr Milliseconds confirmationLifetime{2400};

/// Queue of messages at the rate of a link.
struct Link
{
    double bytesPerSecond;
    TimePoint freeAt{};

    TimePoint pass(TimePoint at, double bytes)
    {
        const std::chrono::duration<double> time(bytes / bytesPerSecond);
        freeAt = std::max(freeAt, at) + std::chrono::duration_cast<TimePoint::duration>(time);
        return freeAt;
    }
};

struct Daemon
{
    Link up{vmLinkRate};
    Link down{vmLinkRate};
    ExchangePacing pacing;
    unsigned version = 1;
    unsigned confirmer = 0; ///< number of the one that it asks next
    TimePoint confirmedAt{};
    std::vector<unsigned> known = std::vector<unsigned>(daemonCount); ///< versions of peers
    std::vector<TimePoint> askedUntil = std::vector<TimePoint>(daemonCount);
};

/// Daemons in two regions, with even and odd numbers; the first of each region are confirmers. A
/// third is cut off from the others and from the store for 13 s from second 1. At second 7 the
/// store drops its history: the removals since older versions are not known from then on.
struct Replay
{
    explicit Replay(bool mechanism)
        : paced(mechanism)
        , daemons(daemonCount)
    {
        for (unsigned i = 0; i < daemonCount; ++i) {
            daemons[i].pacing.setRegionMembers(daemonCount / 2);
            daemons[i].confirmer = i / 2;
            at(start + Milliseconds(i * 3), [this, i] { act(i); });
        }
    }

    static bool isConfirmer(unsigned i) { return i / 2 < confirmersPerRegion; }
    bool isCut(unsigned i) const { return i % 3 == 2 && now >= start + 1s && now < start + 14s; }
    // The records change every 500 ms.
    unsigned newest() const { return static_cast<unsigned>((now - start) / 500ms) + 1; }
    bool isWhole(const Daemon &daemon) const
    {
        return daemon.version + 2 >= newest() && now - daemon.confirmedAt < confirmationLifetime;
    }

    void at(TimePoint time, std::function<void()> task)
    {
        events.emplace(std::pair(time, ++eventCount), std::move(task));
    }
    void runUntil(TimePoint end)
    {
        for (; events.begin()->first.first <= end; events.erase(events.begin())) {
            now = events.begin()->first.first;
            events.begin()->second();
        }
        now = end;
    }

    void send(unsigned from, unsigned to, double bytes, std::function<void()> task)
    {
        if (isCut(from) != isCut(to))
            return;
        TimePoint arrival = daemons[from].up.pass(now, bytes);
        if (from % 2 != to % 2)
            arrival = regions[from % 2].pass(arrival, bytes);
        at(daemons[to].down.pass(arrival, bytes) + 5ms, std::move(task));
    }

    // Bytes of the copy that is sent to a peer with that version.
    double takeCopy(unsigned from, unsigned to, unsigned version, bool accepted)
    {
        Daemon &self = daemons[from];
        if (self.version <= version)
            return 0;
        const bool whole = version < historyVersion && self.version >= historyVersion;
        const double bytes = whole ? wholeCopyBytes : (self.version - version) * changeBytes;
        const bool small = bytes <= ExchangePacing::smallCopyBytes;
        const auto urgency = small ? CopyUrgency::RecordChanges : CopyUrgency::Rest;
        const bool sent = !paced
                          || ((accepted || small)
                              && self.pacing.takeCopy(VmId(std::to_string(to)), from % 2 != to % 2,
                                                      0, self.version, urgency,
                                                      static_cast<std::size_t>(bytes), now));
        return sent ? bytes : 0;
    }

    void act(unsigned i)
    {
        Daemon &self = daemons[i];
        if (isConfirmer(i) && !isCut(i)) {
            self.version = newest();
            self.confirmedAt = now;
        }
        const auto age = now - self.confirmedAt;
        self.confirmer += age > 1700ms ? 1 : 0;
        if (!isConfirmer(i) || age > 1900ms)
            exchange(i, i % 2 + 2 * (self.confirmer % confirmersPerRegion));
        if (age > 1900ms) {
            exchange(i, i % 2); // collects the promises
            exchange(i, static_cast<unsigned>(random.below(daemonCount)));
        }
        const Milliseconds usual = age > 1900ms ? 200ms : 500ms;
        at(now + (paced ? self.pacing.interval(usual) : usual), [this, i] { act(i); });
    }

    bool acceptsCopies(unsigned from, unsigned to)
    {
        Daemon &self = daemons[from];
        ExchangePacing::Holders holders;
        for (unsigned peer = 0; peer < daemonCount; ++peer) {
            const bool newer = self.known[peer] > self.version;
            holders.anywhere |= newer;
            holders.region |= newer && peer % 2 == from % 2;
            holders.confirmer |= newer && peer % 2 == from % 2 && isConfirmer(peer);
        }
        self.pacing.noteBehind(holders.anywhere, now);
        const CopySource near =
            isConfirmer(to) ? CopySource::RegionConfirmer : CopySource::RegionMember;
        const CopySource source = from % 2 == to % 2 ? near : CopySource::OtherRegion;
        const bool accepts = self.pacing.acceptsCopies(source, holders, false, now);
        if (accepts)
            self.pacing.noteCopiesRequested(now);
        return accepts;
    }

    void exchange(unsigned from, unsigned to)
    {
        Daemon &self = daemons[from];
        if (from == to || now < self.askedUntil[to])
            return;
        const bool accepts = !paced || acceptsCopies(from, to);
        const TimePoint timeout = now + (paced ? self.pacing.timeout() : 600ms);
        self.askedUntil[to] = timeout;
        const double copy = self.known[to] == 0 ? 0 : takeCopy(from, to, self.known[to], !paced);
        send(from, to, reportBytes + copy, [=, this, &self, sent = self.version, sentAt = now] {
            Daemon &peer = daemons[to];
            peer.known[from] = sent;
            if (copy > 0)
                peer.version = std::max(peer.version, sent);
            const double answered = takeCopy(to, from, sent, accepts);
            const TimePoint confirmedAt = sentAt - (now - peer.confirmedAt);
            send(to, from, reportBytes + answered, [=, this, &self, version = peer.version] {
                const bool late = now > timeout;
                self.pacing.noteEnd(late ? ExchangeEnd::Late : ExchangeEnd::InTime, now);
                if (late && !paced)
                    return;
                self.askedUntil[to] = late ? self.askedUntil[to] : now;
                self.known[to] = version;
                if (answered > 0)
                    self.version = std::max(self.version, version);
                if (accepts)
                    self.pacing.noteCopiesAnswered(version > self.version);
                if (self.version >= version)
                    self.confirmedAt = std::max(self.confirmedAt, confirmedAt);
            });
        });
    }

    bool paced;
    SeededRandom random{20261206};
    const TimePoint start{1h};
    TimePoint now = start;
    std::vector<Daemon> daemons;
    std::array<Link, 2> regions{Link{regionLinkRate}, Link{regionLinkRate}}; ///< to the other one
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events;
    std::uint64_t eventCount = 0;
};

// Daemons that are not whole 15 s after the end of the partition.
long countLost(bool paced)
{
    Replay replay(paced);
    replay.runUntil(replay.start + 29s);
    return std::count_if(replay.daemons.begin(), replay.daemons.end(),
                         [&](const Daemon &daemon) { return !replay.isWhole(daemon); });
}

} // namespace

TEST_GROUP(ExchangePacing){};

// Guards against a fleet that does not recover after the store has dropped its history while a
// third of it is cut off: whole copies fill the links, their answers come too late, and are
// requested again.
TEST(ExchangePacing, fleetRecoversAfterLostHistoryAndPartition)
{
    LONGS_EQUAL(0, countLost(true));
    CHECK_TRUE(countLost(false) > daemonCount / 2);
}

// Guards against a daemon that sends a copy again while the first one is on its way, or lets it
// take what the configuration or changes of the records need.
TEST(ExchangePacing, copiesWaitForThoseThatAreMoreUrgent)
{
    ExchangePacing pacing;
    TimePoint now{1h};
    const auto take = [&](const char *peer, CopyUrgency urgency, std::size_t bytes) {
        return pacing.takeCopy(VmId(peer), false, 0, 7, urgency, bytes, now);
    };
    CHECK_TRUE(take("a", CopyUrgency::Rest, 250000));
    CHECK_FALSE(take("a", CopyUrgency::RecordChanges, 100));
    CHECK_FALSE(take("b", CopyUrgency::Rest, 100));
    CHECK_TRUE(take("b", CopyUrgency::Configuration, 100000));
    CHECK_FALSE(take("c", CopyUrgency::Configuration, 100));
    CHECK_TRUE(take("c", CopyUrgency::RecordChanges, 100));
    now += 600ms;
    CHECK_TRUE(take("a", CopyUrgency::Rest, 100));
    now += 600ms;
    CHECK_FALSE(take("a", CopyUrgency::Rest, 100));
}

// Guards against exchanges that are slowed down because peers are cut off, and against ones that
// stay slow.
TEST(ExchangePacing, onlyLateAnswersSlowExchangesDown)
{
    ExchangePacing pacing;
    TimePoint now{1h};
    const auto passSecond = [&](ExchangeEnd end) {
        now += 1s;
        for (int i = 0; i < 4; ++i)
            pacing.noteEnd(end, now);
        return pacing.timeout();
    };
    passSecond(ExchangeEnd::GivenUp);
    CHECK_TRUE(passSecond(ExchangeEnd::GivenUp) == 600ms);
    passSecond(ExchangeEnd::Late);
    CHECK_TRUE(passSecond(ExchangeEnd::Late) > 600ms);
    for (int i = 0; i < 4; ++i)
        passSecond(ExchangeEnd::InTime);
    CHECK_TRUE(pacing.timeout() == 600ms && pacing.interval(200ms) == 200ms);
}

// Guards against copies from several peers at once, and against one from another region although
// the own region has it.
TEST(ExchangePacing, oneCopyIsTakenFromTheNearestHolder)
{
    ExchangePacing pacing;
    const TimePoint now{1h};
    const ExchangePacing::Holders far{.anywhere = true};
    const ExchangePacing::Holders all{true, true, true};
    CHECK_FALSE(pacing.acceptsCopies(CopySource::OtherRegion, all, true, now));
    CHECK_FALSE(pacing.acceptsCopies(CopySource::RegionMember, all, true, now));
    CHECK_TRUE(pacing.acceptsCopies(CopySource::OtherRegion, far, true, now));
    pacing.noteBehind(true, now);
    CHECK_FALSE(pacing.acceptsCopies(CopySource::OtherRegion, far, false, now));
    CHECK_TRUE(pacing.acceptsCopies(CopySource::OtherRegion, far, false, now + 4s));
    pacing.noteCopiesRequested(now);
    CHECK_FALSE(pacing.acceptsCopies(CopySource::RegionConfirmer, all, false, now));
    pacing.noteCopiesAnswered(true);
    CHECK_TRUE(pacing.acceptsCopies(CopySource::RegionMember, all, false, now));
}
