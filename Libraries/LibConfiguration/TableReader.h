#pragma once

#include "LibBase/Time.h"
#include "LibConfiguration/DocumentParser.h"

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace Configuration {

/// A string of the document with the place where it stands.
struct LocatedText
{
    std::string text;
    std::uint32_t line = 0;
    std::string path;
};

/// Inclusive bounds of a value; without `fallback` the key is required.
template<typename T>
struct Range
{
    T lowest {};
    T highest {};
    std::optional<T> fallback = std::nullopt;
};

/// Reads one TOML table key by key. Each read records its mistakes and returns a usable value, so that one
/// pass finds all mistakes, up to a number that a person can use.
class TableReader
{
public:
    TableReader(const toml::table &table, std::string path, std::vector<Mistake> &mistakes);

    std::uint32_t integer(std::string_view key, const Range<std::uint32_t> &range);
    double number(std::string_view key, const Range<double> &range);
    Base::Duration duration(std::string_view key, const Range<Base::Duration> &range);
    bool boolean(std::string_view key, bool fallback);

    /// Reads a required string; an empty text is returned after a mistake.
    LocatedText text(std::string_view key, std::string_view accepted);

    /// Reads a string that may be missing or empty.
    std::string optionalText(std::string_view key);

    /// Reads a required name: lower-case letters, digits, '.', '_' and '-'.
    LocatedText name(std::string_view key);

    /// Reads a required, non-empty array of strings.
    std::vector<LocatedText> texts(std::string_view key, std::string_view accepted);

    /// Reads a required, non-empty array of tables.
    std::vector<TableReader> tables(std::string_view key);

    /// Reports every key that no read asked for.
    void refuseUnknownKeys();

    void report(std::uint32_t line, std::string path, std::string value, std::string accepted);

    /// Reports that the value of `key` is wrong.
    void reportKey(std::string_view key, std::string_view accepted);

    std::uint32_t line() const;
    std::string pathOf(std::string_view key) const;

private:
    bool hasEnoughMistakes() const;
    const toml::node *find(std::string_view key);
    const toml::array *findArray(std::string_view key, std::string_view accepted);

    /// Reports a missing required value or one of another type; nothing when it is absent and optional.
    void reportUnlessOptional(std::string_view key, bool optional, std::string_view accepted);

    const toml::table *table_;
    std::string path_;
    std::vector<Mistake> *mistakes_;
    std::set<std::string, std::less<>> known_;
};

} // namespace Configuration
