#include "LibBase/Log.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>

namespace Base {

namespace {

std::atomic<LogLevel> minimumLevel {LogLevel::Info};

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

bool needsQuotes(std::string_view value)
{
    const auto isPlain = [](char c) { return c > ' ' && c != '"' && c != '\\' && c != '=' && c != 0x7f; };
    return value.empty() || !std::all_of(value.begin(), value.end(), isPlain);
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        if (static_cast<unsigned char>(c) < ' ')
            fmt::format_to(std::back_inserter(line), "\\x{:02x}", c);
        else
            line += c;
    }
    line += '"';
}

} // namespace

void appendLogField(std::string &line, const LogField &field)
{
    const std::string_view value = field.value;
    const auto shown = value.substr(0, MaxLogValueBytes);
    fmt::format_to(std::back_inserter(line), " {}=", field.key);
    if (needsQuotes(shown))
        appendQuoted(line, shown);
    else
        line += shown;
    if (shown.size() < value.size())
        fmt::format_to(std::back_inserter(line), " {}_bytes={}", field.key, value.size());
}

std::string logTimeStamp()
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto milliseconds = now.time_since_epoch().count() % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                       milliseconds);
}

std::string formatLogLine(LogLevel level, std::string_view part, std::string_view sentence,
                          std::initializer_list<LogField> fields)
{
    auto line = fmt::format("{} {}: {}", levelName(level), part, sentence);
    for (const auto &field : fields)
        appendLogField(line, field);
    return line;
}

void Log::debug(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Debug, sentence, fields);
}

void Log::info(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Info, sentence, fields);
}

void Log::warning(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Warning, sentence, fields);
}

void Log::error(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Error, sentence, fields);
}

void Log::setLevel(LogLevel level)
{
    minimumLevel = level;
}

void Log::write(LogLevel level, std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
    // One write per line, so that lines of several threads do not mix.
    const auto line = fmt::format("{} {}\n", logTimeStamp(), formatLogLine(level, part_, sentence, fields));
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace Base
