#include "LibHttp/CivetWebLibrary.h"

#include <civetweb.h>
#include <mutex>

namespace Http {

void initializeCivetWeb()
{
    static std::once_flag once;
    std::call_once(once, [] { mg_init_library(MG_FEATURES_DEFAULT); });
}

} // namespace Http
