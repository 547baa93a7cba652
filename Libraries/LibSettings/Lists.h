#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Settings {

/// Splits "a,b" into its items; empty items are kept so that rules can refuse them.
std::vector<std::string> splitList(std::string_view value);

/// Splits "id=address,id=address"; an item without '=' gets an empty address.
std::vector<std::pair<std::string, std::string>> splitMembers(std::string_view value);

} // namespace Settings
