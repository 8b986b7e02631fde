#include "net/http_error.h"

#include "base/json.h"

namespace pistachiowood {

HttpResponse errorResponse(const Error &error)
{
    return {httpStatusOf(error.code), errorBody(error)};
}

} // namespace pistachiowood
