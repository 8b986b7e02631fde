#ifndef PISTACHIOWOOD_BASE_TICKET_H
#define PISTACHIOWOOD_BASE_TICKET_H

#include <pistachiowood/strong_value.h>

#include <cstdint>

namespace pistachiowood {

/// Identifies one submission to the traffic thread's decision logic; never reused within a process.
using Ticket = StrongValue<struct TicketTag, std::uint64_t>;

} // namespace pistachiowood

#endif
