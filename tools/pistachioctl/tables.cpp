#include "pistachioctl/tables.h"

#include "base/json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood::ctl {

namespace json = boost::json;

namespace {

using Row = std::vector<std::string>;

constexpr std::size_t columnGap = 2;

/// Text of one cell; labels read key=value,key=value.
std::string cellText(const json::value &value)
{
    if (value.is_null() || (value.is_string() && value.get_string().empty()))
        return "-";
    if (const auto *object = value.if_object()) {
        std::string text;
        for (const auto &field : *object)
            text += (text.empty() ? "" : ",") + std::string(field.key()) + "="
                    + cellText(field.value());
        return text.empty() ? "-" : text;
    }
    return value.is_array() ? json::serialize(value) : formatScalar(value);
}

std::string cellText(const json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(json::string_view(field.data(), field.size()));
    return value ? cellText(*value) : "-";
}

std::string heading(std::string_view field)
{
    std::string text(field);
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return c == '_' ? ' ' : std::toupper(c); });
    return text;
}

void printRows(const std::vector<Row> &rows, std::ostream &output)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const Row &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size())
                line += std::string(widths[column] + columnGap - row[column].size(), ' ');
        }
        output << line << '\n';
    }
}

const json::array &arrayField(const json::object &body, const char *field)
{
    static const json::array none;
    const auto *value = body.if_contains(field);
    return value && value->is_array() ? value->get_array() : none;
}

Row makeHeadings(const std::vector<std::string_view> &fields)
{
    Row row;
    for (const auto field : fields)
        row.push_back(heading(field));
    return row;
}

Row makeRow(const json::object &item, const std::vector<std::string_view> &fields)
{
    Row row;
    for (const auto field : fields)
        row.push_back(cellText(item, field));
    return row;
}

void printTable(const json::array &items, const std::vector<std::string_view> &fields,
                std::ostream &output)
{
    std::vector<Row> rows{makeHeadings(fields)};
    for (const auto &item : items) {
        if (item.is_object())
            rows.push_back(makeRow(item.get_object(), fields));
    }
    printRows(rows, output);
}

void printLines(const json::array &lines, std::ostream &output)
{
    for (const auto &line : lines)
        output << "  " << cellText(line) << '\n';
}

/// Columns of a list after name and version.
const std::vector<std::string_view> &listColumns(const std::string &kind)
{
    static const std::map<std::string, std::vector<std::string_view>> columns{
        {"DatabaseService", {"team", "primary_selector", "weight", "labels"}},
        {"Endpoint",
         {"service", "address", "zone", "region", "slots", "connections", "leaving", "labels"}},
        {"Proxy", {"team", "service_selector", "labels"}},
        {"Team", {"weight"}},
        {"ServiceStatus", {"term", "primary"}},
    };
    static const std::vector<std::string_view> none;
    const auto found = columns.find(kind);
    return found == columns.end() ? none : found->second;
}

} // namespace

void renderObject(const json::object &body, std::ostream &output)
{
    std::vector<Row> rows{{"name", cellText(body, "name")},
                          {"kind", cellText(body, "kind")},
                          {"version", cellText(body, "version")},
                          {"operation", cellText(body, "operation_id")}};
    if (const auto *object = body.if_contains("object"); object && object->is_object()) {
        for (const auto &field : object->get_object())
            rows.push_back({std::string(field.key()), cellText(field.value())});
    }
    printRows(rows, output);
}

void renderList(const json::object &body, std::ostream &output)
{
    const auto &fields = listColumns(cellText(body, "kind"));
    Row headings{"NAME", "VERSION"};
    for (const std::string &text : makeHeadings(fields))
        headings.push_back(text);
    std::vector<Row> rows{headings};
    for (const auto &item : arrayField(body, "items")) {
        const auto *object = item.as_object().if_contains("object");
        Row row = makeRow(item.as_object(), {"name", "version"});
        for (const std::string &cell : makeRow(object->as_object(), fields))
            row.push_back(cell);
        rows.push_back(std::move(row));
    }
    printRows(rows, output);
}

void renderChange(const json::object &body, std::ostream &output)
{
    if (body.contains("dry_run"))
        output << "not made (dry run); it would replace version "
               << cellText(body, "expected_version") << '\n';
    else
        output << "accepted, version " << cellText(body, "version") << '\n';
    const auto &diff = arrayField(body, "diff");
    if (body.contains("diff") && diff.empty())
        output << "  no difference\n";
    printLines(diff, output);
}

void renderStatus(const json::object &body, std::ostream &output)
{
    output << "daemon " << cellText(body, "vm") << ", platform "
           << (cellText(body, "platform_reachable") == "true" ? "reachable" : "not reachable")
           << ", applied version " << cellText(body, "applied_version") << ", in force everywhere "
           << cellText(body, "lowest_applied_version") << "\n\n";
    printTable(arrayField(body, "daemons"),
               {"vm", "zone", "state", "applied_version", "admin_address"}, output);
    for (const auto &item : arrayField(body, "services")) {
        const auto &service = item.as_object();
        output << "\nservice " << cellText(service, "service") << ": term "
               << cellText(service, "term") << ", primary " << cellText(service, "primary")
               << ", verdict " << cellText(service, "verdict");
        if (const auto reason = cellText(service, "verdict_reason");
            reason != "-" && reason != "none")
            output << " (" << reason << ")";
        output << '\n';
        printTable(arrayField(service, "endpoints"),
                   {"endpoint", "zone", "owner", "role", "leaving", "position", "age_ms"}, output);
    }
}

void renderInForce(const json::object &body, std::ostream &output)
{
    if (cellText(body, "in_force") == "true") {
        output << "version " << cellText(body, "version") << " is in force\n";
        return;
    }
    output << "version " << cellText(body, "version") << " is not in force; waiting for:\n";
    printLines(arrayField(body, "waiting_for"), output);
}

void renderHistory(const json::object &body, std::ostream &output)
{
    output << "versions that this daemon has applied since version "
           << cellText(body, "since_version") << ", newest first\n";
    for (const auto &item : arrayField(body, "versions")) {
        const auto &version = item.as_object();
        output << "version " << cellText(version, "version")
               << (cellText(version, "deleted") == "true" ? " deleted" : "") << ", operation "
               << cellText(version, "operation_id") << '\n';
        printLines(arrayField(version, "diff"), output);
    }
}

void renderExplain(const json::object &body, std::ostream &output)
{
    output << "read of service " << cellText(body, "service") << " from zone "
           << cellText(body, "zone") << " (region " << cellText(body, "region") << "), read rule "
           << cellText(body, "read_rule") << ", oldest accepted data "
           << cellText(body, "max_age_ms") << " ms\n";
    printTable(arrayField(body, "endpoints"), {"endpoint", "owner", "reason"}, output);
    const auto &excluded = arrayField(body, "excluded");
    if (!excluded.empty()) {
        output << "\nnot tried:\n";
        printTable(excluded, {"endpoint", "reason"}, output);
    }
}

} // namespace pistachiowood::ctl
