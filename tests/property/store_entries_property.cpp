#include "base/json_split.h"
#include "base/log.h"
#include "net/http.h"
#include "platform/platform_store_client.h"
#include "property/altered_input.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const std::string endpointText =
    R"({"service":"db","address":"10.0.0.9:80","zone":"a","slots":5,"state":"ready",)"
    R"("cold_left_ms":0,"version":"v1","target_role":"replica","sequence":4,"born":17})";

// A string of any bytes but those that JSON needs to find its end.
std::string anyString()
{
    std::string text = "\"";
    for (const char c : *rc::gen::arbitrary<std::string>()) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
    return text + "\"";
}

// A value with matching brackets, valid JSON or not.
std::string anyValue(unsigned depth = 0)
{
    const std::vector<std::string> scalars{"null", "true", "7",    "-0",   "1e999",
                                           "NaN",  "01",   "1e-9", "\xff", "18446744073709551616"};
    switch (*rc::gen::inRange(0, depth < 4 ? 6 : 3)) {
    case 0:
        return *rc::gen::elementOf(scalars);
    case 1:
        return anyString();
    case 2: {
        const auto levels = *rc::gen::inRange<std::size_t>(0, 3000);
        return std::string(levels, '[') + "1" + std::string(levels, ']');
    }
    case 3:
        return "[" + anyValue(depth + 1) + "," + anyValue(depth + 1) + "]";
    case 4:
        return "{" + anyString() + ":" + anyValue(depth + 1) + "}";
    default:
        return "{" + anyString() + " : [ ] , \"address\":" + anyValue(depth + 1) + "}";
    }
}

std::string itemText(const std::string &quotedName, const std::string &spec)
{
    return R"({"meta":{"name":)" + quotedName + R"(,"rev":5,"finalizers":)" + anyValue()
           + R"(},"spec":)" + spec + R"(,"status":)" + anyValue() + "}";
}

std::string join(const std::vector<std::string> &parts)
{
    std::string text;
    for (const std::string &part : parts)
        text += (text.empty() ? "" : ", ") + part;
    return text;
}

bool isValid(PlatformStore &store, const StoredItem &item)
{
    return std::holds_alternative<EndpointEntry>(
        capture([&] { return store.decodeEndpoint(item); }));
}

/// Store that gives the same answer to every call.
struct FixedStore
{
    FixedStore()
    {
        if (!server.listen({"127.0.0.1", 0}))
            std::abort();
        store = makePlatformStoreClient(loop, {"127.0.0.1", server.port()});
    }

    template <typename T, typename Call>
    StoreOutcome<T> ask(const std::string &body, Call call)
    {
        answer = body;
        StoreOutcome<T> result;
        call([this, &result](StoreOutcome<T> outcome) {
            result = std::move(outcome);
            loop.stop();
        });
        loop.run();
        return result;
    }

    StoreOutcome<GroupSnapshot> list(const std::string &body)
    {
        return ask<GroupSnapshot>(body, [this](auto callback) {
            store->list(ObjectGroup::Endpoints, 5s, std::move(callback));
        });
    }

    StoreOutcome<GroupChanges> watch(const std::string &body)
    {
        return ask<GroupChanges>(body, [this](auto callback) {
            store->watch(ObjectGroup::Endpoints, {}, 100ms, 5s, std::move(callback));
        });
    }

    EventLoop loop;
    std::string answer;
    HttpServer server{loop, {}, [this](const HttpRequest &, const HttpServer::Responder &respond) {
                          respond({200, answer});
                      }};
    std::unique_ptr<PlatformStore> store;
};

// Guards against an entry of another writer that hides the entries of endpoints.
bool endpointsAreReadBesideAnyEntry(FixedStore &fixed)
{
    return rc::check("endpoints are read beside any entry", [&] {
        std::vector<std::string> items;
        std::vector<std::string> events;
        const auto add = [&](const std::string &item) {
            items.push_back(item);
            events.push_back("{\"object\":" + item + ",\"deleted\":false}");
        };
        const auto count = *rc::gen::inRange<std::size_t>(1, 5);
        for (std::size_t i = 0; i < count; ++i) {
            add(itemText(anyString(), anyValue()));
            add(itemText("\"i-" + std::to_string(i) + "\"", endpointText));
            add(anyValue());
        }
        const auto countValid = [&](const auto &elements, auto itemOf) {
            return static_cast<std::size_t>(
                std::count_if(elements.begin(), elements.end(), [&](const auto &element) {
                    return isValid(*fixed.store, itemOf(element));
                }));
        };
        const auto list =
            fixed.list(R"({"items":[)" + join(items) + R"(],"has_more":false,"at_rev":9})");
        RC_ASSERT(std::holds_alternative<GroupSnapshot>(list));
        RC_ASSERT(countValid(std::get<GroupSnapshot>(list).items,
                             [](const StoredItem &item) { return item; })
                  == count);
        const auto watch = fixed.watch(R"({"at_rev":9,"events":[)" + join(events) + "]}");
        RC_ASSERT(std::holds_alternative<GroupChanges>(watch));
        RC_ASSERT(countValid(std::get<GroupChanges>(watch).changes,
                             [](const GroupChange &change) { return change.item; })
                  == count);
    });
}

// Guards against bytes of another writer that end the daemon or keep it waiting.
bool clientSurvivesAnyAnswer(FixedStore &fixed)
{
    return rc::check("the client of the store survives any answer", [&] {
        const std::string item = itemText("\"i-1\"", endpointText);
        fixed.list(mutate(R"({"items":[)" + item + R"(],"has_more":false,"at_rev":9})"));
        fixed.watch(mutate(R"({"at_rev":9,"events":[{"object":)" + item + "}]}"));
        const StoredItem entry{*rc::gen::arbitrary<std::string>(), {}, mutate(endpointText)};
        isValid(*fixed.store, entry);
    });
}

// Guards against parts of a JSON text that are cut at the wrong place.
bool partsAreCutWhereTheyEnd()
{
    return rc::check("parts of a JSON text are cut where they end", [] {
        const auto count = *rc::gen::inRange<std::size_t>(0, 5);
        std::vector<std::string> values;
        std::vector<std::string> members;
        for (std::size_t i = 0; i < count; ++i) {
            values.push_back(anyValue());
            members.push_back("\"m" + std::to_string(i) + "\" : " + values.back());
        }
        const auto array = capture([&, text = "[" + join(values) + "]"]() -> Result<bool> {
            BOOST_LEAF_AUTO(elements, splitJsonArray(text));
            return std::equal(elements.begin(), elements.end(), values.begin(), values.end());
        });
        RC_ASSERT(std::get<bool>(array));
        const auto object = capture([&, text = "{" + join(members) + "}"]() -> Result<bool> {
            BOOST_LEAF_AUTO(split, splitJsonObject(text));
            for (std::size_t i = 0; i < count; ++i) {
                if (split.find("m" + std::to_string(i)) != values.at(i))
                    return false;
            }
            return true;
        });
        RC_ASSERT(std::get<bool>(object));
    });
}

} // namespace

int main()
{
    disableLogging();
    FixedStore fixed;
    bool passed = partsAreCutWhereTheyEnd();
    passed = endpointsAreReadBesideAnyEntry(fixed) && passed;
    return clientSurvivesAnyAnswer(fixed) && passed ? 0 : 1;
}
