#ifndef PISTACHIOWOOD_ENDPOINTS_ENDPOINT_PROTOCOL_H
#define PISTACHIOWOOD_ENDPOINTS_ENDPOINT_PROTOCOL_H

#include "endpoints/attempt.h"
#include "net/http.h"

#include <pistachiowood/error.h>

namespace pistachiowood {

// Encodes and decodes the messages of the endpoint port. Another database protocol replaces only
// these functions and the connection.

HttpRequest encodeAttempt(const AttemptRequest &request);
AttemptAnswer decodeAttempt(const AttemptRequest &request, const HttpOutcome &outcome);

HttpRequest encodeStatusProbe();

HttpRequest encodePositionWait(Term term, LogPosition above, Milliseconds wait);
Result<EndpointReport> decodeReport(const HttpOutcome &outcome);

HttpRequest encodeRaiseTerm(Term term, const std::string &promoter);
HttpRequest encodePromote(Term term, const std::string &promoter);
HttpRequest encodeFollow(Term term, const EndpointId &primary, const SocketAddress &primaryAddress);

/// Answer to a status probe, raise_term, promote or follow; `granted` is for raise_term.
struct ControlAnswer
{
    bool granted = false;
    EndpointStatus status;
};
Result<ControlAnswer> decodeControlAnswer(const HttpOutcome &outcome);

} // namespace pistachiowood

#endif
