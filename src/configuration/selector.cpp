#include "configuration/selector.h"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>

namespace pistachiowood {

namespace {

namespace x3 = boost::spirit::x3;

constexpr std::string_view labelCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./";

const auto setKey = [](const auto &context) { x3::_val(context).key = x3::_attr(context); };
const auto addValue = [](const auto &context) {
    x3::_val(context).values.push_back(x3::_attr(context));
};
const auto setOperator = [](SelectorOperator operation) {
    return [operation](const auto &context) { x3::_val(context).operation = operation; };
};

const auto labelCharacter = x3::char_("-a-zA-Z0-9_./");
const auto label = x3::rule<struct LabelRule, std::string>{"a label"} = x3::lexeme[+labelCharacter];

auto keyword(const char *text)
{
    return x3::lexeme[x3::lit(text) >> !labelCharacter];
}

const auto values = x3::lit('(') > (label[addValue] % ',') > x3::lit(')');

const auto conditionRule = x3::rule<struct ConditionRule, SelectorCondition>{"a condition"} =
    (x3::lit('!') > label[setKey] > x3::eps[setOperator(SelectorOperator::NotExists)])
    | (label[setKey]
       >> ((x3::lit("!=") > label[addValue] > x3::eps[setOperator(SelectorOperator::NotEquals)])
           | (x3::lit('=') > label[addValue] > x3::eps[setOperator(SelectorOperator::Equals)])
           | (keyword("notin") > values > x3::eps[setOperator(SelectorOperator::NotIn)])
           | (keyword("in") > values > x3::eps[setOperator(SelectorOperator::In)])
           | x3::eps[setOperator(SelectorOperator::Exists)]));

const auto selectorGrammar = x3::expect[conditionRule] > *(x3::lit(',') > conditionRule) > x3::eoi;

boost::leaf::error_id syntaxError(std::string_view text, std::size_t position,
                                  const std::string &reason)
{
    std::size_t end = text.find_first_not_of(labelCharacters, position);
    if (end == position)
        ++end;
    const std::string found =
        position >= text.size() ? "the end"
                                : "\"" + std::string(text.substr(position, end - position)) + "\"";
    return makeError(ErrorCode::InvalidArgument, "selector: " + reason + " at position "
                                                     + std::to_string(position + 1) + ", found "
                                                     + found);
}

} // namespace

bool isLabelText(std::string_view text)
{
    return !text.empty() && text.size() <= maxLabelLength
           && text.find_first_not_of(labelCharacters) == std::string_view::npos;
}

Result<Selector> Selector::parse(std::string_view text)
{
    if (text.size() > maxSelectorLength)
        return makeError(ErrorCode::InvalidArgument, "selector: longer than "
                                                         + std::to_string(maxSelectorLength)
                                                         + " characters");
    Selector selector;
    if (text.find_first_not_of(" \t") == std::string_view::npos)
        return selector;
    const char *first = text.data();
    try {
        x3::phrase_parse(first, text.data() + text.size(), selectorGrammar, x3::blank,
                         selector.conditions_);
    } catch (const x3::expectation_failure<const char *> &failure) {
        const std::string expected = failure.which().find("eoi") != std::string::npos
                                         ? "\",\" or an operator"
                                         : failure.which();
        std::size_t position = static_cast<std::size_t>(failure.where() - text.data());
        position = std::min(text.find_first_not_of(" \t", position), text.size());
        return syntaxError(text, position, "expected " + expected);
    }
    for (const SelectorCondition &parsed : selector.conditions_) {
        std::vector<std::string> labelTexts = parsed.values;
        labelTexts.push_back(parsed.key);
        for (const std::string &labelText : labelTexts) {
            if (labelText.size() > maxLabelLength)
                return syntaxError(text, text.find(labelText),
                                   "expected at most " + std::to_string(maxLabelLength)
                                       + " characters");
        }
    }
    return selector;
}

bool Selector::matches(const Labels &labels) const
{
    return std::all_of(
        conditions_.begin(), conditions_.end(), [&labels](const SelectorCondition &condition) {
            const auto found = labels.find(condition.key);
            const bool exists = found != labels.end();
            const bool listed =
                exists
                && std::find(condition.values.begin(), condition.values.end(), found->second)
                       != condition.values.end();
            switch (condition.operation) {
            case SelectorOperator::Equals:
            case SelectorOperator::In:
                return listed;
            case SelectorOperator::NotEquals:
            case SelectorOperator::NotIn:
                return !listed;
            case SelectorOperator::Exists:
                return exists;
            case SelectorOperator::NotExists:
                return !exists;
            }
            return false;
        });
}

std::string Selector::toString() const
{
    std::string text;
    for (const SelectorCondition &condition : conditions_) {
        if (!text.empty())
            text += ',';
        std::string list;
        for (const std::string &value : condition.values)
            list += (list.empty() ? "" : ",") + value;
        switch (condition.operation) {
        case SelectorOperator::Equals:
            text += condition.key + "=" + list;
            break;
        case SelectorOperator::NotEquals:
            text += condition.key + "!=" + list;
            break;
        case SelectorOperator::In:
            text += condition.key + " in (" + list + ")";
            break;
        case SelectorOperator::NotIn:
            text += condition.key + " notin (" + list + ")";
            break;
        case SelectorOperator::Exists:
            text += condition.key;
            break;
        case SelectorOperator::NotExists:
            text += "!" + condition.key;
            break;
        }
    }
    return text;
}

} // namespace pistachiowood
