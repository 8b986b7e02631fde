#ifndef PISTACHIOWOOD_NET_HTTP_ERROR_H
#define PISTACHIOWOOD_NET_HTTP_ERROR_H

#include "net/http.h"

namespace pistachiowood {

/// Response that reports an error: {"error":{"code":...,"message":...}} with the code's status.
HttpResponse errorResponse(const Error &error);

} // namespace pistachiowood

#endif
