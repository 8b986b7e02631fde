#ifndef PISTACHIOWOOD_TESTS_ALTERED_INPUT_H
#define PISTACHIOWOOD_TESTS_ALTERED_INPUT_H

#include <string>

#include <rapidcheck.h>

namespace pistachiowood {

/// Changes, removes, repeats or inserts bytes of a sample at random.
inline std::string mutate(std::string text)
{
    const auto edits = *rc::gen::inRange<std::size_t>(0, 8);
    for (std::size_t i = 0; i < edits; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        const auto length = *rc::gen::inRange<std::size_t>(0, 40);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, text.substr(at / 2, length));
            break;
        case 2:
            text.insert(at, *rc::gen::arbitrary<std::string>());
            break;
        default:
            if (at < text.size())
                text[at] = *rc::gen::arbitrary<char>();
        }
    }
    return text;
}

} // namespace pistachiowood

#endif
