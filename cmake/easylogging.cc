// Compiles the logging library's own source, which Debian ships as source, and
// gives it its storage.
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
