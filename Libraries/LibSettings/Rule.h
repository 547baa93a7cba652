#pragma once

#include <string_view>

namespace Settings {

/// What values a setting may have.
struct Rule
{
    std::string_view accepted; ///< For error messages, for example "an address ip:port".
    bool (*accepts)(std::string_view value);
};

extern const Rule Text; ///< Any text but the empty one.
extern const Rule Name; ///< As in documents.
extern const Rule Address;
extern const Rule AddressList; ///< Separated by commas.
extern const Rule MemberList; ///< id=ip:port, separated by commas.
extern const Rule Switch; ///< Boolean; as a flag it takes no value.
extern const Rule Number; ///< Whole and not negative.
extern const Rule Milliseconds;
extern const Rule Threads;
extern const Rule LogLevelName;
extern const Rule HostName; ///< As in a Host header.
extern const Rule RequestPath; ///< With a query or without.
extern const Rule OutputFormat;

} // namespace Settings
