#include "platform_standin/platform_server.h"

#include "base/json.h"
#include "net/http.h"
#include "net/http_error.h"
#include "net/request_target.h"
#include "platform_standin/call_limiter.h"
#include "platform_standin/object_store.h"
#include "platform_standin/vm_list.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace pistachiowood::platform {

namespace json = boost::json;

namespace {

constexpr std::size_t changeEnvelopeBytes = 16 * 1024; // fields of a PUT body around the object
constexpr Milliseconds maxWatchWait{60000};

struct Waiter
{
    std::uint64_t from = 0;
    std::string kind;
    TimerId timer = 0;
    HttpServer::Responder respond;
};

struct Faults
{
    bool outage = false;
    Milliseconds delay{0};
    std::uint64_t loseAnswers = 0;
};

enum class Access { Read, Write, Control };

std::string encodeWatch(const WatchAnswer &answer)
{
    std::string body = "{\"version\":" + std::to_string(answer.version) + ",\"events\":[";
    for (std::size_t i = 0; i < answer.events.size(); ++i)
        body += (i == 0 ? "" : ",") + answer.events[i].encode();
    return body + "]}";
}

Result<json::object> requireObject(const json::object &body, std::string_view field)
{
    const json::value *value = body.if_contains(json::string_view(field.data(), field.size()));
    if (!value || !value->is_object())
        return makeError(ErrorCode::InvalidArgument,
                         "field \"" + std::string(field) + "\" must be present and an object");
    return value->as_object();
}

} // namespace

struct PlatformServer::Private
{
    using Call = Result<HttpResponse> (Private::*)(const RequestTarget &, const HttpRequest &);

    /// One operation; path segments "*" match any name.
    struct Route
    {
        std::string_view method;
        std::vector<std::string_view> path;
        std::string_view name; ///< key in the call counts
        Access access;
        Call call;
    };

    Private(EventLoop &eventLoop, const PlatformOptions &options)
        : loop(eventLoop)
        , store(options.eventHistory)
        , vmListLag(options.vmListLag)
        , writes(options.maxWritesPerSecond, clock.now())
        , reads(options.maxReadsPerSecond, clock.now())
        , server(loop, {.maxBodyBytes = maxObjectBytes + changeEnvelopeBytes},
                 [this](const HttpRequest &request, HttpServer::Responder respond) {
                     handle(request, std::move(respond));
                 })
    {
        server.setCloseHandler([this](std::uint64_t connection) { removeWaiter(connection); });
    }

    ~Private()
    {
        for (const auto &[connection, waiter] : waiters)
            loop.cancelTimer(waiter.timer);
    }

    const Route *findRoute(const std::string &method, const RequestTarget &target) const
    {
        for (const Route &route : routes) {
            const auto matches = [](std::string_view expected, const std::string &segment) {
                return expected == "*" ? !segment.empty() : expected == segment;
            };
            if (route.method == method
                && std::equal(route.path.begin(), route.path.end(), target.path.begin(),
                              target.path.end(), matches))
                return &route;
        }
        return nullptr;
    }

    void handle(const HttpRequest &request, HttpServer::Responder respond)
    {
        const auto parsed = capture([&] { return parseRequestTarget(request.target); });
        if (const auto *error = std::get_if<Error>(&parsed)) {
            respond(errorResponse(*error));
            return;
        }
        const auto &target = std::get<0>(parsed);
        const Route *route = findRoute(request.method, target);
        if (!route) {
            respond(errorResponse({ErrorCode::NotFound, "no such operation"}));
            return;
        }
        ++calls[std::string(route->name)];
        if (route->access != Access::Control) {
            if (faults.outage) {
                respond({closeConnectionStatus});
                return;
            }
            if (!(route->access == Access::Write ? writes : reads).admit(clock.now())) {
                ++refused;
                respond({429, errorBody({ErrorCode::Unavailable, "too many calls per second"})});
                return;
            }
            respond = delayed(std::move(respond));
        }
        if (route->call == &Private::watch) {
            startWatch(target, request.connection, std::move(respond));
            return;
        }
        const HttpResponse response = run(route->call, target, request);
        const bool changed = route->access == Access::Write && response.status == 200;
        if (changed && faults.loseAnswers > 0) {
            --faults.loseAnswers;
            respond({closeConnectionStatus});
        } else {
            respond(response);
        }
        if (changed)
            answerWaiters();
    }

    HttpResponse run(Call call, const RequestTarget &target, const HttpRequest &request)
    {
        auto outcome = capture([&] { return (this->*call)(target, request); });
        if (const auto *error = std::get_if<Error>(&outcome)) {
            if (error->code == ErrorCode::Conflict) {
                ++conflicts;
                const std::string body = errorBody(*error);
                const auto current = store.versionOf(target.path.at(2), target.path.at(3));
                return {httpStatusOf(error->code),
                        body.substr(0, body.size() - 1)
                            + ",\"current_version\":" + std::to_string(current) + "}"};
            }
            return errorResponse(*error);
        }
        return std::move(std::get<0>(outcome));
    }

    // The change takes effect at once; only the answer is late.
    HttpServer::Responder delayed(HttpServer::Responder respond)
    {
        if (faults.delay.count() == 0)
            return respond;
        return [this, delay = faults.delay,
                respond = std::move(respond)](const HttpResponse &response) {
            loop.startTimer(delay, [respond, response] { respond(response); });
        };
    }

    Result<HttpResponse> listObjects(const RequestTarget &target, const HttpRequest &)
    {
        std::string body = "{\"version\":" + std::to_string(store.version()) + ",\"items\":[";
        bool first = true;
        for (const ObjectPointer &object : store.list(target.queryText("kind"))) {
            body += (std::exchange(first, false) ? "" : ",") + object->encode();
        }
        return HttpResponse{200, body + "]}"};
    }

    Result<HttpResponse> getObject(const RequestTarget &target, const HttpRequest &)
    {
        BOOST_LEAF_AUTO(object, store.get(target.path[2], target.path[3]));
        return HttpResponse{200, object->encode()};
    }

    Result<HttpResponse> putObject(const RequestTarget &target, const HttpRequest &request)
    {
        BOOST_LEAF_AUTO(body, parseJsonObject(request.body));
        ObjectChange change{target.path[2], target.path[3]};
        BOOST_LEAF_ASSIGN(change.expectedVersion, requireUnsigned(body, "expected_version"));
        BOOST_LEAF_ASSIGN(change.operationId, requireString(body, "operation_id"));
        BOOST_LEAF_AUTO(object, requireObject(body, "object"));
        change.object = json::serialize(object);
        BOOST_LEAF_AUTO(stored, store.put(std::move(change)));
        return HttpResponse{200, stored->encode()};
    }

    Result<HttpResponse> deleteObject(const RequestTarget &target, const HttpRequest &)
    {
        BOOST_LEAF_AUTO(expected, target.queryUnsigned("expected_version"));
        if (!expected)
            return makeError(ErrorCode::InvalidArgument,
                             "query parameter \"expected_version\" must be present");
        ObjectChange change{target.path[2], target.path[3], *expected,
                            target.queryText("operation_id")};
        BOOST_LEAF_AUTO(version, store.remove(std::move(change)));
        return HttpResponse{200, "{\"version\":" + std::to_string(version) + "}"};
    }

    Result<HttpResponse> watch(const RequestTarget &target, const HttpRequest &)
    {
        BOOST_LEAF_AUTO(from, target.queryUnsigned("from"));
        BOOST_LEAF_AUTO(answer, store.eventsAfter(from.value_or(0), target.queryText("kind")));
        return HttpResponse{200, encodeWatch(answer)};
    }

    void startWatch(const RequestTarget &target, std::uint64_t connection,
                    HttpServer::Responder respond)
    {
        const auto parsed = capture([&]() -> Result<std::pair<std::uint64_t, Milliseconds>> {
            BOOST_LEAF_AUTO(from, target.queryUnsigned("from"));
            BOOST_LEAF_AUTO(wait, target.queryUnsigned("wait_ms"));
            const auto limit = static_cast<std::uint64_t>(maxWatchWait.count());
            return std::pair(from.value_or(0), Milliseconds(std::min(wait.value_or(0), limit)));
        });
        if (const auto *error = std::get_if<Error>(&parsed)) {
            respond(errorResponse(*error));
            return;
        }
        const auto [from, wait] = std::get<0>(parsed);
        Waiter waiter{from, target.queryText("kind"), 0, std::move(respond)};
        if (answerWaiter(waiter, wait.count() == 0))
            return;
        waiter.timer = loop.startTimer(wait, [this, connection] { expireWaiter(connection); });
        waiters.insert_or_assign(connection, std::move(waiter));
    }

    /// Returns false when there is nothing to report yet.
    bool answerWaiter(const Waiter &waiter, bool evenIfEmpty)
    {
        const auto outcome = capture([&] { return store.eventsAfter(waiter.from, waiter.kind); });
        if (const auto *error = std::get_if<Error>(&outcome)) {
            waiter.respond(errorResponse(*error));
            return true;
        }
        const auto &answer = std::get<0>(outcome);
        if (answer.events.empty() && !evenIfEmpty)
            return false;
        waiter.respond({200, encodeWatch(answer)});
        return true;
    }

    void answerWaiters()
    {
        // Answering may close a connection, which removes its waiter from the map.
        auto pending = std::exchange(waiters, {});
        for (auto &[connection, waiter] : pending) {
            if (answerWaiter(waiter, false))
                loop.cancelTimer(waiter.timer);
            else
                waiters.insert_or_assign(connection, std::move(waiter));
        }
    }

    void expireWaiter(std::uint64_t connection)
    {
        if (auto node = waiters.extract(connection))
            answerWaiter(node.mapped(), true);
    }

    void removeWaiter(std::uint64_t connection)
    {
        if (auto node = waiters.extract(connection))
            loop.cancelTimer(node.mapped().timer);
    }

    Result<HttpResponse> listVms(const RequestTarget &, const HttpRequest &)
    {
        json::array list;
        for (const auto &[vm, entry] : vms.at(clock.now() - vmListLag)) {
            json::object item{{"vm", vm},
                              {"zone", entry.zone},
                              {"region", entry.region},
                              {"state", entry.leaving ? "leaving" : "live"}};
            if (!entry.address.empty())
                item["address"] = entry.address;
            list.push_back(std::move(item));
        }
        return HttpResponse{200, json::serialize(json::object{{"vms", std::move(list)}})};
    }

    Result<HttpResponse> setVm(const RequestTarget &target, const HttpRequest &request)
    {
        BOOST_LEAF_AUTO(body, parseJsonObject(request.body));
        VmEntry entry;
        BOOST_LEAF_ASSIGN(entry.zone, requireString(body, "zone"));
        BOOST_LEAF_ASSIGN(entry.region, requireString(body, "region"));
        BOOST_LEAF_AUTO(address, optionalString(body, "address"));
        entry.address = address.value_or("");
        BOOST_LEAF_AUTO(state, optionalString(body, "state"));
        if (state && *state != "live" && *state != "leaving")
            return makeError(ErrorCode::InvalidArgument,
                             "field \"state\" must be \"live\" or \"leaving\"");
        entry.leaving = state == "leaving";
        vms.set(clock.now(), target.path[2], std::move(entry));
        return HttpResponse{200, "{}"};
    }

    Result<HttpResponse> removeVm(const RequestTarget &target, const HttpRequest &)
    {
        if (!vms.remove(clock.now(), target.path[2]))
            return makeError(ErrorCode::NotFound, "VM " + target.path[2] + " is not in the list");
        return HttpResponse{200, "{}"};
    }

    Result<HttpResponse> setFaults(const RequestTarget &, const HttpRequest &request)
    {
        BOOST_LEAF_AUTO(body, parseJsonObject(request.body));
        BOOST_LEAF_AUTO(outage, optionalBool(body, "outage"));
        BOOST_LEAF_AUTO(delay, optionalUnsigned(body, "delay_ms"));
        BOOST_LEAF_AUTO(loseAnswers, optionalUnsigned(body, "lose_answers"));
        BOOST_LEAF_AUTO(lag, optionalUnsigned(body, "vm_list_lag_ms"));
        faults.outage = outage.value_or(faults.outage);
        faults.delay = delay ? Milliseconds(*delay) : faults.delay;
        faults.loseAnswers = loseAnswers.value_or(faults.loseAnswers);
        vmListLag = lag ? Milliseconds(*lag) : vmListLag;
        if (faults.outage)
            dropWaiters();
        return HttpResponse{200,
                            json::serialize(json::object{{"outage", faults.outage},
                                                         {"delay_ms", faults.delay.count()},
                                                         {"lose_answers", faults.loseAnswers},
                                                         {"vm_list_lag_ms", vmListLag.count()}})};
    }

    void dropWaiters()
    {
        auto pending = std::exchange(waiters, {});
        for (auto &[connection, waiter] : pending) {
            loop.cancelTimer(waiter.timer);
            waiter.respond({closeConnectionStatus});
        }
    }

    Result<HttpResponse> stats(const RequestTarget &, const HttpRequest &)
    {
        json::object counts;
        for (const auto &[name, count] : calls)
            counts[name] = count;
        return HttpResponse{
            200, json::serialize(json::object{{"version", store.version()},
                                              {"calls", std::move(counts)},
                                              {"refused", refused},
                                              {"conflicts", conflicts},
                                              {"waiting_watches", waiters.size()},
                                              {"connections", server.openConnections()}})};
    }

    const std::vector<Route> routes{
        {"GET", {"v1", "objects"}, "list", Access::Read, &Private::listObjects},
        {"GET", {"v1", "objects", "*", "*"}, "get", Access::Read, &Private::getObject},
        {"PUT", {"v1", "objects", "*", "*"}, "put", Access::Write, &Private::putObject},
        {"DELETE", {"v1", "objects", "*", "*"}, "delete", Access::Write, &Private::deleteObject},
        {"GET", {"v1", "watch"}, "watch", Access::Read, &Private::watch},
        {"GET", {"v1", "vms"}, "vms", Access::Read, &Private::listVms},
        {"PUT", {"standin", "vms", "*"}, "set_vm", Access::Control, &Private::setVm},
        {"DELETE", {"standin", "vms", "*"}, "remove_vm", Access::Control, &Private::removeVm},
        {"POST", {"standin", "faults"}, "faults", Access::Control, &Private::setFaults},
        {"GET", {"standin", "stats"}, "stats", Access::Control, &Private::stats},
    };

    EventLoop &loop;
    SteadyClock clock;
    ObjectStore store;
    VmList vms;
    Milliseconds vmListLag;
    CallLimiter writes;
    CallLimiter reads;
    Faults faults;
    std::map<std::uint64_t, Waiter> waiters; // by connection, which runs one request at a time
    std::map<std::string, std::uint64_t> calls;
    std::uint64_t refused = 0;
    std::uint64_t conflicts = 0;
    HttpServer server;
};

PlatformServer::PlatformServer(EventLoop &loop, const PlatformOptions &options)
    : private_(std::make_unique<Private>(loop, options))
{
}

PlatformServer::~PlatformServer() = default;

Result<void> PlatformServer::listen(const SocketAddress &address)
{
    return private_->server.listen(address);
}

std::uint16_t PlatformServer::port() const
{
    return private_->server.port();
}

} // namespace pistachiowood::platform
