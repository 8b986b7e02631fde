#include <pistachiowood/statement.h>

#include <array>

namespace pistachiowood {

std::string_view outcomeName(Outcome outcome)
{
    static constexpr std::array<std::string_view, 3> names{"committed", "not_run", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace pistachiowood
