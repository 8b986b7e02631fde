#ifndef PISTACHIOWOOD_BURN_REPORT_FORMAT_H
#define PISTACHIOWOOD_BURN_REPORT_FORMAT_H

#include <pistachiowood/clock.h>

#include <iomanip>
#include <sstream>
#include <string>

namespace pistachiowood {

inline std::string formatFixed(double number, int decimals)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(decimals) << number;
    return text.str();
}

inline std::string formatHours(Milliseconds duration)
{
    return formatFixed(std::chrono::duration<double, std::ratio<3600>>(duration).count(), 1);
}

} // namespace pistachiowood

#endif
