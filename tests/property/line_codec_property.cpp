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

// Lines of a text that arrives in these pieces, and last what is not a line yet.
std::vector<std::string> splitIntoLines(const std::vector<std::string> &pieces)
{
    std::vector<std::string> lines;
    LineReader reader;
    std::string input;
    std::string_view line;
    for (const std::string &piece : pieces) {
        input += piece;
        while (reader.next(input, line) == LineState::Complete)
            lines.emplace_back(line);
        reader.discardRead(input);
    }
    lines.push_back(input);
    return lines;
}

std::vector<std::string> cutAnywhere(const std::string &text)
{
    std::vector<std::string> pieces;
    for (std::size_t begin = 0; begin < text.size(); begin += pieces.back().size())
        pieces.push_back(text.substr(begin, *rc::gen::inRange<std::size_t>(1, 20)));
    return pieces;
}

// Guards against lines that depend on how TCP splits the bytes, and against a line that ends
// elsewhere than at CR LF.
bool linesAreIndependentOfSplits()
{
    return rc::check("lines are independent of how the input is split", [] {
        const auto text =
            *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab \r\r\n\n\0", 8)));
        const auto lines = splitIntoLines(cutAnywhere(text));
        std::string joined;
        for (std::size_t i = 0; i < lines.size(); ++i) {
            RC_ASSERT(lines[i].find("\r\n") == std::string::npos);
            joined += lines[i] + (i + 1 < lines.size() ? "\r\n" : "");
        }
        RC_ASSERT(joined == text);
    });
}

// Guards against a statement that reaches the endpoint with another text, and against one that
// no caller sent: arbitrary bytes in pieces of any size are run as sent or not at all.
bool acceptedStatementsArePassedOnUnchanged()
{
    return rc::check("accepted statements are passed on unchanged", [] {
        std::string sent;
        std::vector<std::string> accepted;
        for (auto count = *rc::gen::inRange(1, 6); count > 0; --count) {
            std::string line = mutate(*rc::gen::elementOf(callerSamples));
            line.insert(*rc::gen::inRange<std::size_t>(0, line.size() + 1),
                        *rc::gen::elementOf(std::vector<std::string>{
                            "", "\n", "\r", "\nQUERY 9 WRITE x y", std::string(1, '\0')}));
            sent += line + "\r\n";
        }
        std::string passedOn;
        auto received = splitIntoLines(cutAnywhere(sent));
        RC_ASSERT(received.back().empty());
        received.pop_back();
        for (const std::string &line : received) {
            const CallerMessage message = decodeCallerMessage(line);
            if (message.kind != CallerMessage::Kind::Statement
                || message.statement.verb == Verb::Malformed)
                continue;
            accepted.push_back(line);
            passedOn += encodeStatement(message.statement);
        }
        accepted.emplace_back();
        RC_ASSERT(splitIntoLines(cutAnywhere(passedOn)) == accepted);
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
    return rc::check("replies are relayed unchanged", [&] {
        ReplyDecoder decoder;
        for (auto rows = *rc::gen::inRange(0, 6); rows > 0; --rows) {
            std::string row = "ROW " + mutate("a\nb");
            std::erase(row, '\r');
            RC_ASSERT(decoder.addLine(row) == ReplyDecoder::State::NeedMore);
        }
        decoder.addLine(*rc::gen::elementOf(resultLines));
        RC_ASSERT(decoder.addLine(*rc::gen::elementOf(readyLines))
                  == ReplyDecoder::State::Complete);
        const std::string relayed = encodeReply(decoder.takeReply());
        ReplyDecoder relayedDecoder;
        auto lines = splitIntoLines(cutAnywhere(relayed));
        lines.pop_back();
        for (const std::string &line : lines)
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
