#include "base/json_split.h"

#include "base/json.h"

#include <algorithm>

namespace pistachiowood {

namespace {

constexpr std::string_view blanks = " \t\r\n";

/// Reads a text part by part. Functions return nullopt or false where the text ends too early.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : text_(text)
    {
    }

    void skipBlanks()
    {
        position_ = std::min(text_.find_first_not_of(blanks, position_), text_.size());
    }

    bool atEnd() const { return position_ == text_.size(); }

    /// Skips the character if it is next.
    bool skip(char expected)
    {
        skipBlanks();
        if (atEnd() || text_[position_] != expected)
            return false;
        ++position_;
        return true;
    }

    /// Reads a string with its quotes.
    std::optional<std::string_view> readString()
    {
        skipBlanks();
        const std::size_t begin = position_;
        if (atEnd() || text_[position_] != '"' || !skipString())
            return std::nullopt;
        return text_.substr(begin, position_ - begin);
    }

    /// Reads a value of any kind, up to the comma or closing bracket that follows it.
    std::optional<std::string_view> readValue()
    {
        skipBlanks();
        const std::size_t begin = position_;
        std::size_t depth = 0;
        while (!atEnd()) {
            const char next = text_[position_];
            const bool closes = next == ']' || next == '}';
            if (depth == 0 && (closes || next == ',')) {
                const std::string_view value = text_.substr(begin, position_ - begin);
                return value.substr(0, value.find_last_not_of(blanks) + 1);
            }
            if (next == '"') {
                if (!skipString())
                    return std::nullopt;
                continue;
            }
            if (next == '[' || next == '{')
                ++depth;
            else if (closes)
                --depth;
            ++position_;
        }
        return std::nullopt;
    }

private:
    // Skips the string that begins at the present position.
    bool skipString()
    {
        for (++position_; !atEnd(); ++position_) {
            if (text_[position_] == '"') {
                ++position_;
                return true;
            }
            if (text_[position_] == '\\')
                ++position_;
            if (atEnd())
                return false;
        }
        return false;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

boost::leaf::error_id notSplittable(std::string_view kind)
{
    return makeError(ErrorCode::InvalidArgument,
                     "the text is not a JSON " + std::string(kind) + " with matching brackets");
}

std::optional<std::string> decodeString(std::string_view quoted)
{
    const auto decoded = capture([&] { return parseJsonValue(quoted); });
    const auto *value = std::get_if<boost::json::value>(&decoded);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

// Reads parts that are separated by commas, up to the closing bracket and the end of the text.
template <typename ReadPart>
bool readParts(Scanner &scanner, char opening, char closing, ReadPart readPart)
{
    if (!scanner.skip(opening))
        return false;
    if (!scanner.skip(closing)) {
        do {
            if (!readPart())
                return false;
        } while (scanner.skip(','));
        if (!scanner.skip(closing))
            return false;
    }
    scanner.skipBlanks();
    return scanner.atEnd();
}

} // namespace

std::optional<std::string_view> JsonMembers::find(std::string_view name) const
{
    const auto found = std::find_if(members_.rbegin(), members_.rend(),
                                    [&](const JsonMember &member) { return member.name == name; });
    return found == members_.rend() ? std::nullopt : std::optional(found->value);
}

Result<std::string_view> requireMember(const JsonMembers &members, std::string_view name)
{
    if (const auto value = members.find(name))
        return *value;
    return makeError(ErrorCode::InvalidArgument, "field \"" + std::string(name) + "\" is missing");
}

Result<boost::json::object> decodeMember(const JsonMembers &members, std::string_view name)
{
    BOOST_LEAF_AUTO(text, requireMember(members, name));
    BOOST_LEAF_AUTO(value, parseJsonValue(text));
    return boost::json::object{{name, std::move(value)}};
}

Result<JsonMembers> splitJsonObject(std::string_view text)
{
    Scanner scanner(text);
    std::vector<JsonMember> members;
    const bool complete = readParts(scanner, '{', '}', [&] {
        const auto name = scanner.readString();
        if (!name || !scanner.skip(':'))
            return false;
        const auto value = scanner.readValue();
        if (!value)
            return false;
        if (auto decoded = decodeString(*name))
            members.push_back({std::move(*decoded), *value});
        return true;
    });
    if (!complete)
        return notSplittable("object");
    return JsonMembers(std::move(members));
}

Result<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    Scanner scanner(text);
    std::vector<std::string_view> elements;
    const bool complete = readParts(scanner, '[', ']', [&] {
        const auto value = scanner.readValue();
        if (value)
            elements.push_back(*value);
        return value.has_value();
    });
    if (!complete)
        return notSplittable("array");
    return elements;
}

} // namespace pistachiowood
