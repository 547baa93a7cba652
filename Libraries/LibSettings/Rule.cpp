#include "LibSettings/Rule.h"

#include "LibBase/AddressText.h"
#include "LibSettings/Lists.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Settings {

namespace {

constexpr std::size_t LongestName = 64;
constexpr std::size_t LongestHost = 255;
constexpr std::size_t LongestPath = 4096;
constexpr std::uint64_t MostMilliseconds = 600'000;
constexpr std::uint64_t MostThreads = 4096;

std::optional<std::uint64_t> parseNumber(std::string_view value)
{
    std::uint64_t number = 0;
    const auto *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    if (value.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

bool isWithin(std::string_view value, std::uint64_t lowest, std::uint64_t highest)
{
    const auto number = parseNumber(value);
    return number && *number >= lowest && *number <= highest;
}

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
           || character == '.' || character == '_' || character == '-';
}

bool isName(std::string_view value)
{
    return !value.empty() && value.size() <= LongestName && value.front() != '-' && value.front() != '.'
           && value.front() != '_' && std::all_of(value.begin(), value.end(), isNameCharacter);
}

bool isAddress(std::string_view value)
{
    return Base::parseAddress(value).has_value();
}

bool isAddressList(std::string_view value)
{
    const auto items = splitList(value);
    const std::set<std::string> distinct(items.begin(), items.end());
    return !items.empty() && distinct.size() == items.size()
           && std::all_of(items.begin(), items.end(), isAddress);
}

bool isMemberList(std::string_view value)
{
    const auto members = splitMembers(value);
    std::set<std::string> distinct;
    for (const auto &[id, address] : members) {
        if (!isName(id) || !isAddress(address) || !distinct.insert(id).second
            || !distinct.insert(address).second)
            return false;
    }
    return !members.empty();
}

bool isSwitch(std::string_view value)
{
    constexpr std::array<std::string_view, 4> Accepted {"true", "false", "1", "0"};
    return std::find(Accepted.begin(), Accepted.end(), value) != Accepted.end();
}

bool isLogLevel(std::string_view value)
{
    constexpr std::array<std::string_view, 4> Accepted {"debug", "info", "warning", "error"};
    return std::find(Accepted.begin(), Accepted.end(), value) != Accepted.end();
}

/// Whether the value has 1 to `longest` visible ASCII characters.
bool isVisible(std::string_view value, std::size_t longest)
{
    return !value.empty() && value.size() <= longest
           && std::all_of(value.begin(), value.end(),
                          [](char character) { return character > ' ' && character <= '~'; });
}

bool isHostName(std::string_view value)
{
    return isVisible(value, LongestHost) && value.find('/') == std::string_view::npos;
}

bool isRequestPath(std::string_view value)
{
    return isVisible(value, LongestPath) && value.front() == '/';
}

bool isOutputFormat(std::string_view value)
{
    return value == "text" || value == "json";
}

} // namespace

constinit const Rule Text {"a text that is not empty", [](std::string_view value) { return !value.empty(); }};
constinit const Rule Name {
    "a name of 1 to 64 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit", isName};
constinit const Rule Address {"an address ip:port", isAddress};
constinit const Rule AddressList {"different addresses ip:port, separated by commas", isAddressList};
constinit const Rule MemberList {"different members id=ip:port, separated by commas", isMemberList};
constinit const Rule Switch {"true, false, 1 or 0", isSwitch};
constinit const Rule Number {"a whole number from 0",
                             [](std::string_view value) { return parseNumber(value).has_value(); }};
constinit const Rule Milliseconds {
    "a whole number of milliseconds from 1 to 600000",
    [](std::string_view value) { return isWithin(value, 1, MostMilliseconds); }};
constinit const Rule Threads {"a whole number from 1 to 4096",
                              [](std::string_view value) { return isWithin(value, 1, MostThreads); }};
constinit const Rule LogLevelName {"debug, info, warning or error", isLogLevel};
constinit const Rule HostName {"a host as in a Host header, of 1 to 255 visible ASCII characters",
                               isHostName};
constinit const Rule RequestPath {"a path that starts with '/', of 1 to 4096 visible ASCII characters",
                                  isRequestPath};
constinit const Rule OutputFormat {"text or json", isOutputFormat};

} // namespace Settings
