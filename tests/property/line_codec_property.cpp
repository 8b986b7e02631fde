#include "base/log.h"
#include "platform/line_codec.h"
#include "property/altered_input.h"

#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck.h>

using namespace pistachiowood;

namespace {

const std::vector<std::string> callerSamples{
    "START orders",
    "START orders bkf83fgfwrz56aw63is4",
    "QUERY 5c0e READ 1a4",
    "QUERY 5c0e WRITE 1a4 some  data ",
    "QUERY 5c0e BEGIN",
    "QUERY 5c0e COMMIT",
    "QUERY 5c0e PREPARE s1 WRITE q2c",
    "QUERY 5c0e EXEC s1 1a4 xkqp wnzd",
    "BYE",
};

const std::vector<std::string> resultLines{"DONE 7.1f3", "DONE -", "ERR LAGGING i-1",
                                           "ERR NEWCODE x"};
const std::vector<std::string> readyLines{"READY T 3.9", "READY I -", "READY E -"};

// Guards against lines that depend on how TCP splits the bytes.
bool linesAreIndependentOfSplits()
{
    return rc::check("lines are independent of how the input is split", [] {
        const auto text =
            *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab \r\n")));
        const auto collect = [](const std::vector<std::string> &pieces) {
            std::vector<std::string> lines;
            std::string input;
            std::string line;
            for (const std::string &piece : pieces) {
                input += piece;
                while (takeLine(input, line) == LineState::Complete)
                    lines.push_back(line);
            }
            lines.push_back(input);
            return lines;
        };
        const auto split = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        RC_ASSERT(collect({text}) == collect({text.substr(0, split), text.substr(split)}));
    });
}

// Guards against a statement that reaches the endpoint with another text, or as two lines.
bool acceptedStatementsArePassedOnUnchanged()
{
    return rc::check("accepted statements are passed on unchanged", [] {
        std::string line = mutate(*rc::gen::elementOf(callerSamples));
        std::erase(line, '\n'); // takeLine() splits the input there, before the decoder
        const CallerMessage message = decodeCallerMessage(line);
        if (message.kind != CallerMessage::Kind::Statement
            || message.statement.verb == Verb::Malformed)
            return;
        const std::string sent = encodeStatement(message.statement);
        RC_ASSERT(sent == line + "\r\n");
        RC_ASSERT(decodeCallerMessage(sent.substr(0, sent.size() - 2)).statement.verb
                  == message.statement.verb);
    });
}

// Guards against a key that is part of a line to an endpoint, or is read as something else.
bool keysStayOutOfTheLinesToEndpoints()
{
    return rc::check("keys stay out of the lines to endpoints", [] {
        const auto key =
            *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange<char>('0', '9')));
        const CallerMessage start = decodeCallerMessage("START orders " + key);
        RC_ASSERT(start.kind == CallerMessage::Kind::Start);
        RC_ASSERT(start.key == key);
        std::string sent =
            encodeStart(ServiceName(start.database), CustomerName("miny"), EndpointId("i-x"));
        sent += encodeStatement(start.statement);
        RC_ASSERT(sent.find(key) == std::string::npos);
    });
}

// Guards against a reply that changes on its way to the caller.
bool repliesAreRelayedUnchanged()
{
    const auto linesOf = [](std::string text) {
        std::vector<std::string> lines;
        std::string line;
        while (takeLine(text, line) == LineState::Complete)
            lines.push_back(line);
        return lines;
    };
    return rc::check("replies are relayed unchanged", [&] {
        ReplyDecoder decoder;
        for (auto lines = *rc::gen::inRange(0, 6); lines > 0; --lines) {
            std::string row = "ROW " + mutate("a b");
            std::erase(row, '\n');
            std::erase(row, '\r');
            RC_ASSERT(decoder.addLine(row) == ReplyDecoder::State::NeedMore);
        }
        decoder.addLine(*rc::gen::elementOf(resultLines));
        RC_ASSERT(decoder.addLine(*rc::gen::elementOf(readyLines))
                  == ReplyDecoder::State::Complete);
        const std::string relayed = encodeReply(decoder.takeReply());
        ReplyDecoder relayedDecoder;
        for (const std::string &line : linesOf(relayed))
            RC_ASSERT(relayedDecoder.addLine(line) != ReplyDecoder::State::Invalid);
        RC_ASSERT(encodeReply(relayedDecoder.takeReply()) == relayed);
    });
}

// Guards against lines from an endpoint that crash the decoder or leave it unable to decode the
// next reply.
bool decoderSurvivesAlteredLines()
{
    return rc::check("decoder survives altered lines", [] {
        ReplyDecoder decoder;
        for (const std::string &sample : resultLines)
            decoder.addLine(mutate(sample));
        for (const std::string &sample : readyLines)
            decoder.addLine(mutate(sample));
        decodeStatusRow(mutate("replica 3 3.1209 0 12 2 17"));
        decoder.takeReply();
        RC_ASSERT(decoder.addLine("DONE 1.a") == ReplyDecoder::State::NeedMore);
        RC_ASSERT(decoder.addLine("READY I -") == ReplyDecoder::State::Complete);
    });
}

// Guards against accepting rows without the DONE line, which holds the endpoint's signature.
bool rowsWithoutAnEndAreInvalid()
{
    return rc::check("rows without an end are invalid", [] {
        ReplyDecoder decoder;
        const auto count = *rc::gen::inRange(1, 5);
        for (int i = 0; i < count; ++i)
            RC_ASSERT(decoder.addLine("ROW a") == ReplyDecoder::State::NeedMore);
        RC_ASSERT(decoder.addLine("READY I 3.9") == ReplyDecoder::State::Invalid);
    });
}

} // namespace

int main()
{
    disableLogging();
    bool passed = linesAreIndependentOfSplits();
    passed = acceptedStatementsArePassedOnUnchanged() && passed;
    passed = keysStayOutOfTheLinesToEndpoints() && passed;
    passed = repliesAreRelayedUnchanged() && passed;
    passed = decoderSurvivesAlteredLines() && passed;
    passed = rowsWithoutAnEndAreInvalid() && passed;
    return passed ? 0 : 1;
}
