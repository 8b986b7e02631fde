#include <easylogging++.h>

// Linked with the logging library itself, which needs it even in programs that log nothing.
INITIALIZE_EASYLOGGINGPP
