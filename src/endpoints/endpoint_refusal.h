#ifndef PISTACHIOWOOD_ENDPOINTS_ENDPOINT_REFUSAL_H
#define PISTACHIOWOOD_ENDPOINTS_ENDPOINT_REFUSAL_H

namespace pistachiowood {

/// Why an endpoint refused a statement. Other proves nothing about a write.
enum class EndpointRefusal {
    None,
    StaleTerm,
    NewerTermRequired,
    NotPrimary,
    TooManyConnections,
    RefusedRequest,
    TransactionLost,
    InvalidStatement,
    Other,
};

} // namespace pistachiowood

#endif
