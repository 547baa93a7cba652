#include "LibConfiguration/DurationText.h"

#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace Configuration {

namespace {

struct Unit
{
    std::string_view name;
    std::int64_t microseconds;
};

constexpr std::array<Unit, 5> Units {
    {{"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"min", 60'000'000}, {"h", 3'600'000'000}}};

/// Longer durations are typing mistakes and would overflow sums of durations.
constexpr double LongestMicroseconds = 1e6 * 3600 * 24 * 365;

constexpr double Thousandths = 1000.0;

std::string_view skipSpaces(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    return text;
}

} // namespace

std::optional<Base::Duration> parseDuration(std::string_view text)
{
    double amount = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, amount, std::chars_format::fixed);
    if (parsed.ec != std::errc() || !std::isfinite(amount) || std::signbit(amount))
        return std::nullopt;
    const auto unitName = skipSpaces({parsed.ptr, static_cast<std::size_t>(end - parsed.ptr)});
    for (const auto &unit : Units) {
        if (unit.name != unitName)
            continue;
        const double microseconds = amount * static_cast<double>(unit.microseconds);
        if (microseconds > LongestMicroseconds)
            return std::nullopt;
        return Base::Duration(std::llround(microseconds));
    }
    return std::nullopt;
}

std::string formatDuration(Base::Duration duration)
{
    for (auto unit = Units.rbegin(); unit != Units.rend(); ++unit) {
        const double amount = static_cast<double>(duration.count()) / static_cast<double>(unit->microseconds);
        const double scaled = amount * Thousandths;
        if (amount >= 1 && std::abs(scaled - std::round(scaled)) < 1e-6)
            return fmt::format("{} {}", std::round(scaled) / Thousandths, unit->name);
    }
    return fmt::format("{} us", duration.count());
}

} // namespace Configuration
