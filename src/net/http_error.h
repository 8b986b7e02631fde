#ifndef PISTACHIOWOOD_NET_HTTP_ERROR_H
#define PISTACHIOWOOD_NET_HTTP_ERROR_H

#include "net/http.h"

namespace pistachiowood {

/// Returns the response {"error":{"code":...,"message":...}} with the HTTP status of the code.
HttpResponse errorResponse(const Error &error);

} // namespace pistachiowood

#endif
