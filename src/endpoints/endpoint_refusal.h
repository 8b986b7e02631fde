#ifndef PISTACHIOWOOD_ENDPOINTS_ENDPOINT_REFUSAL_H
#define PISTACHIOWOOD_ENDPOINTS_ENDPOINT_REFUSAL_H

namespace pistachiowood {

/// Why an endpoint refused a statement. After Other a write may have been executed.
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
