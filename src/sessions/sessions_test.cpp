#include "sessions/session_token_codec.h"
#include "sessions/term_history.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

const SessionToken sampleToken{ServiceName("ledger"), Term(3), LogPosition(42)};

bool failsWith(const TermHistory &history, const SessionToken &token, ErrorCode code)
{
    const auto outcome = capture([&] { return history.requiredPosition(token); });
    return std::holds_alternative<Error>(outcome) && std::get<Error>(outcome).code == code;
}

bool isRejected(const SessionTokenCodec &codec, const std::string &text)
{
    return std::holds_alternative<Error>(capture([&] { return codec.decode(text); }));
}

} // namespace

TEST_GROUP(SessionTokens)
{
    SessionTokenCodec codec{"key-a"};
};

// Guards against a token that changes when it is encoded by one daemon and decoded by another.
TEST(SessionTokens, tokenSurvivesEncoding)
{
    const auto decoded = capture([&] { return codec.decode(codec.encode(sampleToken)); });
    CHECK_TRUE(std::get<SessionToken>(decoded) == sampleToken);
}

// Guards against acceptance of a token that a caller has altered or cut short.
TEST(SessionTokens, everyAlterationIsRejected)
{
    const std::string text = codec.encode(sampleToken);
    for (std::size_t i = 0; i < text.size(); ++i) {
        CHECK_TRUE(isRejected(codec, text.substr(0, i)));
        std::string altered = text;
        altered[i] = altered[i] == 'A' ? 'B' : 'A';
        CHECK_TRUE(isRejected(codec, altered));
    }
    CHECK_TRUE(isRejected(codec, std::string(maxTokenLength + 1, 'A')));
}

// Guards against sessions that break while keys are rotated one daemon at a time.
TEST(SessionTokens, previousKeyIsAcceptedAndUnknownKeyIsNot)
{
    const std::string text = codec.encode(sampleToken);
    CHECK_FALSE(isRejected(SessionTokenCodec("key-b", "key-a"), text));
    CHECK_TRUE(isRejected(SessionTokenCodec("key-b"), text));
}

TEST_GROUP(TermHistories)
{
    TermHistory history{
        {{Term(1), LogPosition(0)}, {Term(3), LogPosition(40)}, {Term(5), LogPosition(60)}}};
};

// Guards against a read that silently misses data which was lost in a change of primary.
TEST(TermHistories, tokenBeyondTheEndOfItsTermIsRefused)
{
    CHECK_TRUE(failsWith(history, {{}, Term(1), LogPosition(41)}, ErrorCode::HistoryLost));
    CHECK_TRUE(failsWith(history, {{}, Term(3), LogPosition(61)}, ErrorCode::HistoryLost));
}

// Guards against refusing sessions whose data survived the change of primary.
TEST(TermHistories, tokenWithinItsTermStaysValid)
{
    const auto required = capture([&] {
        return history.requiredPosition({{}, Term(3), LogPosition(60)});
    });
    CHECK_TRUE(std::get<LogPosition>(required) == LogPosition(60));
}

// Guards against serving a session from a daemon that does not know its newer term.
TEST(TermHistories, tokenOfNewerTermIsStale)
{
    CHECK_TRUE(failsWith(history, {{}, Term(6), LogPosition(1)}, ErrorCode::StateStale));
}

// Guards against accepting a token when the end of its term was dropped from the bounded history.
TEST(TermHistories, tokenOlderThanTheKeptHistoryIsRefused)
{
    TermHistory full;
    for (std::uint64_t term = 1; term <= maxTermHistory + 1; ++term)
        full.append({Term(term), LogPosition(term * 10)});
    CHECK_TRUE(failsWith(full, {{}, Term(1), LogPosition(1)}, ErrorCode::HistoryLost));
}
