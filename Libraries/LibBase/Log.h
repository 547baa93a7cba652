#pragma once

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Base {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField
{
    template<typename T>
    LogField(std::string_view fieldKey, const T &fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string_view key;
    std::string value;
};

/// Writes lines "<time> <level> <part>: <sentence> key=value …" to standard error.
class Log
{
public:
    /// `part` is the fixed prefix of all lines from this log.
    explicit constexpr Log(std::string_view part)
        : part_(part)
    {
    }

    void debug(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;

    /// Sets the lowest level that is written, for the whole process.
    static void setLevel(LogLevel level);

private:
    void write(LogLevel level, std::string_view sentence, std::initializer_list<LogField> fields) const;

    std::string_view part_;
};

/// Longest value that is written whole.
constexpr std::size_t MaxLogValueBytes = 2048;

/// Appends " key=value"; values with spaces, quotes or control characters are quoted. Of a longer value than
/// MaxLogValueBytes, the beginning is written, and " key_bytes=" with its size.
void appendLogField(std::string &line, const LogField &field);

/// Returns the wall-clock time as "2026-12-04T04:03:07.123Z".
std::string logTimeStamp();

/// Formats one line without its time stamp. Values with spaces, quotes or control characters are quoted.
std::string formatLogLine(LogLevel level, std::string_view part, std::string_view sentence,
                          std::initializer_list<LogField> fields);

} // namespace Base
