#include "loadgen/final_dump.h"

#include "loadgen/caller.h"
#include "loadgen/workload.h"

#include <boost/json.hpp>

#include <fstream>
#include <random>

namespace pistachiowood::loadgen {

namespace json = boost::json;

namespace {

constexpr Milliseconds retryPause{200};

class Dump
{
public:
    explicit Dump(const DumpOptions &options)
        : options_(options)
        , giveUp_(clock_.now() + options.patience)
    {
    }

    Result<void> writeService(const std::string &service, std::ostream &out)
    {
        const std::string marker = "dump-" + std::to_string(std::random_device()());
        Answer written;
        BOOST_LEAF_CHECK(repeat(service,
                                {{"kind", "write"},
                                 {"statement", appendStatement("dumps", marker)},
                                 {"request_id", marker},
                                 {"idempotent", true}},
                                written));
        for (std::size_t i = 0; i < options_.keys; ++i) {
            const std::string key = keyName(options_.seed, i);
            Answer read;
            BOOST_LEAF_CHECK(repeat(
                service,
                {{"kind", "read"}, {"statement", readStatement(key)}, {"session", written.token}},
                read));
            if (!read.values)
                return makeError(ErrorCode::Internal,
                                 "the value of " + service + "/" + key + " is not a list");
            out << json::serialize(json::object{
                {"service", service}, {"key", key}, {"values", json::value_from(*read.values)}})
                << '\n';
        }
        return {};
    }

private:
    /// Repeats the request at the daemons in turn until it is committed.
    Result<void> repeat(const std::string &service, const json::object &body, Answer &answer)
    {
        for (std::size_t attempt = 0; clock_.now() < giveUp_; ++attempt) {
            answer = send(attempt % options_.daemons.size(), service, body);
            if (answer.outcome == "committed" && !answer.token.empty())
                return {};
        }
        return makeError(ErrorCode::DeadlineExceeded,
                         "service " + service + " answers " + answer.outcome + " " + answer.reason);
    }

    Answer send(std::size_t daemon, const std::string &service, const json::object &body)
    {
        EventLoop loop;
        Caller caller(loop, options_.daemons, options_.deadline);
        Answer result;
        caller.post(daemon, service, "statements", body, [&](Answer answer) {
            result = std::move(answer);
            const bool done = result.outcome == "committed";
            loop.startTimer(done ? Milliseconds(0) : retryPause, [&loop] { loop.stop(); });
        });
        loop.run();
        return result;
    }

    const DumpOptions &options_;
    SteadyClock clock_;
    TimePoint giveUp_;
};

} // namespace

Result<void> dumpFinal(const DumpOptions &options, const std::string &fileName)
{
    std::ofstream out(fileName, std::ios::trunc);
    Dump dump(options);
    for (const std::string &service : options.services)
        BOOST_LEAF_CHECK(dump.writeService(service, out));
    out.flush();
    if (!out.good())
        return makeError(ErrorCode::Internal, "cannot write " + fileName);
    return {};
}

} // namespace pistachiowood::loadgen
