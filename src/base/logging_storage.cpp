#include <easylogging++.h>

// Defines the global state of easylogging++, which its library needs even in programs that do not
// log.
INITIALIZE_EASYLOGGINGPP
