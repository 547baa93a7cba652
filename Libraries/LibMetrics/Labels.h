#pragma once

#include <string>
#include <utility>
#include <vector>

namespace Metrics {

/// Names and values that tell the series of one metric apart, for example class, tenant or server.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Formats as {name="value",…} with escaped values; empty labels give an empty text.
std::string formatLabels(const Labels &labels);

} // namespace Metrics
