#pragma once

#include "LibBase/Log.h"

#include <functional>
#include <initializer_list>
#include <string_view>

namespace Control {

/// Takes what happened, as a log line without its prefix. Decision logic reports through it instead of
/// writing to a log, so that tests can compare whole traces.
using EventSink =
    std::function<void(Base::LogLevel, std::string_view sentence, std::initializer_list<Base::LogField>)>;

} // namespace Control
