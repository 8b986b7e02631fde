#ifndef PISTACHIOWOOD_CONFIGURATION_SELECTOR_H
#define PISTACHIOWOOD_CONFIGURATION_SELECTOR_H

#include "configuration/objects.h"

#include <pistachiowood/error.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

inline constexpr std::size_t maxLabelLength = 63;
inline constexpr std::size_t maxSelectorLength = 4096;

enum class SelectorOperator { Equals, NotEquals, In, NotIn, Exists, NotExists };

/// One condition of a selector.
struct SelectorTerm
{
    SelectorOperator operation = SelectorOperator::Exists;
    std::string key;
    std::vector<std::string> values;

    friend bool operator==(const SelectorTerm &, const SelectorTerm &) = default;
};

/// Conditions on labels that must all hold; no condition matches everything.
class Selector
{
public:
    /// Parses `key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key`, `!key`, joined
    /// by commas. An error names the position (from 1) and the token.
    static Result<Selector> parse(std::string_view text);

    /// `!=` and `notin` also match labels that lack the key.
    bool matches(const Labels &labels) const;
    std::string toString() const;
    const std::vector<SelectorTerm> &terms() const { return terms_; }

private:
    std::vector<SelectorTerm> terms_;
};

/// Tells whether a text is a valid label key or value: 1 to 63 of letters, digits, '-_./'.
bool isLabelText(std::string_view text);

} // namespace pistachiowood

#endif
