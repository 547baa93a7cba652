#pragma once

#include "LibConfiguration/Document.h"

#include <string>
#include <vector>

namespace Configuration {

/// Says in sentences what would change when `after` replaces `before`; empty when nothing would.
std::vector<std::string> describeChanges(const Document &before, const Document &after);

} // namespace Configuration
