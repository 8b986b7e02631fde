#ifndef PISTACHIOWOOD_CONFIGURATION_SELECTOR_H
#define PISTACHIOWOOD_CONFIGURATION_SELECTOR_H

#include "configuration/objects.h"

#include <pistachiowood/error.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// Maximum length of a label key or value in characters.
inline constexpr std::size_t maxLabelLength = 63;
/// Maximum length of a selector text in characters.
inline constexpr std::size_t maxSelectorLength = 4096;

enum class SelectorOperator { Equals, NotEquals, In, NotIn, Exists, NotExists };

/// One condition on a label, such as `zone in (a,b)`.
struct SelectorCondition
{
    SelectorOperator operation = SelectorOperator::Exists;
    std::string key;
    std::vector<std::string> values;

    friend bool operator==(const SelectorCondition &, const SelectorCondition &) = default;
};

/// Conjunction of conditions on labels. A selector without conditions matches everything.
class Selector
{
public:
    /// Parses `key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key`, `!key`, joined
    /// by commas. The message of an error names the position (from 1) and the token found there.
    static Result<Selector> parse(std::string_view text);

    /// `!=` and `notin` also match if the key is missing.
    bool matches(const Labels &labels) const;
    /// Returns the selector in the syntax that parse() accepts.
    std::string toString() const;
    const std::vector<SelectorCondition> &conditions() const { return conditions_; }

private:
    std::vector<SelectorCondition> conditions_;
};

/// Returns whether a text is a valid label key or value: 1 to 63 letters, digits and '-_./'.
bool isLabelText(std::string_view text);

} // namespace pistachiowood

#endif
