#ifndef PISTACHIOWOOD_TAKEOVER_TERM_IN_FORCE_H
#define PISTACHIOWOOD_TAKEOVER_TERM_IN_FORCE_H

#include <pistachiowood/log_position.h>

#include <algorithm>
#include <optional>

namespace pistachiowood {

/// Term in which the daemons used a primary, and the newest position of that primary's log which is
/// known. The position is of an older term until the first commit of the term is known.
struct TermInForce
{
    Term term;
    TermPosition position;

    friend bool operator==(const TermInForce &, const TermInForce &) = default;
};

/// Newer one of the two: of the later term, or with the later position of the same term.
inline std::optional<TermInForce> newerTerm(const std::optional<TermInForce> &left,
                                            const std::optional<TermInForce> &right)
{
    if (!left || !right)
        return left ? left : right;
    if (left->term != right->term)
        return left->term > right->term ? left : right;
    return TermInForce{left->term, std::max(left->position, right->position)};
}

} // namespace pistachiowood

#endif
