#pragma once

#include "LibBase/Log.h"

#include <functional>
#include <initializer_list>
#include <string_view>

namespace Control {

/// Receives log events. The control logic uses it instead of a logger, so that tests can compare complete
/// traces.
using EventSink =
    std::function<void(Base::LogLevel, std::string_view message, std::initializer_list<Base::LogField>)>;

} // namespace Control
