#include "LibConfiguration/TableReader.h"

#include "LibConfiguration/DurationText.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace Configuration {

namespace {

constexpr std::size_t LongestName = 64;
constexpr std::size_t LongestShownValue = 80;
constexpr std::size_t LongestReportedText = 256;
/// A document may hold a mistake in every few bytes.
constexpr std::size_t MaxMistakes = 100;

constexpr std::string_view AcceptedName =
    "a name of 1 to 64 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit";

std::uint32_t lineOf(const toml::node &node)
{
    return node.source().begin.line;
}

std::string shownValue(const toml::node &node)
{
    std::ostringstream stream;
    node.visit([&stream](const auto &concrete) { stream << concrete; });
    auto shown = stream.str();
    if (shown.size() > LongestShownValue)
        shown = shown.substr(0, LongestShownValue) + "…";
    return shown;
}

bool isNameStart(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isNameCharacter(char character)
{
    return isNameStart(character) || character == '.' || character == '_' || character == '-';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= LongestName && isNameStart(text.front())
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string knownKeys(const std::set<std::string, std::less<>> &keys)
{
    return fmt::format("one of the keys {}", fmt::join(keys, ", "));
}

} // namespace

TableReader::TableReader(const toml::table &table, std::string path, std::vector<Mistake> &mistakes)
    : table_(&table)
    , path_(std::move(path))
    , mistakes_(&mistakes)
{
}

bool TableReader::hasEnoughMistakes() const
{
    return mistakes_->size() >= MaxMistakes;
}

std::uint32_t TableReader::line() const
{
    return std::max<std::uint32_t>(lineOf(*table_), 1);
}

std::string TableReader::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

const toml::node *TableReader::find(std::string_view key)
{
    known_.emplace(key);
    return table_->get(key);
}

void TableReader::report(std::uint32_t line, std::string path, std::string value, std::string accepted)
{
    if (hasEnoughMistakes())
        return;
    for (auto *text : {&path, &value})
        text->resize(std::min(text->size(), LongestReportedText));
    mistakes_->push_back({line, std::move(path), std::move(value), std::move(accepted)});
    if (hasEnoughMistakes())
        mistakes_->push_back({0, "document", "the rest", "a document without the mistakes that are listed"});
}

void TableReader::reportKey(std::string_view key, std::string_view accepted)
{
    const auto *node = table_->get(key);
    report(node != nullptr ? lineOf(*node) : line(), pathOf(key),
           node != nullptr ? shownValue(*node) : std::string(), std::string(accepted));
}

void TableReader::reportUnlessOptional(std::string_view key, bool optional, std::string_view accepted)
{
    if (!optional || table_->get(key) != nullptr)
        reportKey(key, accepted);
}

std::uint32_t TableReader::integer(std::string_view key, const Range<std::uint32_t> &range)
{
    const auto *node = find(key);
    const auto value = node != nullptr ? node->value_exact<std::int64_t>() : std::nullopt;
    if (value && *value >= range.lowest && *value <= range.highest)
        return static_cast<std::uint32_t>(*value);
    reportUnlessOptional(key, range.fallback.has_value(),
                         fmt::format("a whole number from {} to {}", range.lowest, range.highest));
    return range.fallback.value_or(range.lowest);
}

double TableReader::number(std::string_view key, const Range<double> &range)
{
    const auto *node = find(key);
    const auto value = node != nullptr && node->is_number() ? node->value<double>() : std::nullopt;
    if (value && *value >= range.lowest && *value <= range.highest)
        return *value;
    reportUnlessOptional(key, range.fallback.has_value(),
                         fmt::format("a number from {} to {}", range.lowest, range.highest));
    return range.fallback.value_or(range.lowest);
}

Base::Duration TableReader::duration(std::string_view key, const Range<Base::Duration> &range)
{
    const auto *node = find(key);
    const auto text = node != nullptr ? node->value_exact<std::string_view>() : std::nullopt;
    const auto value = text ? parseDuration(*text) : std::nullopt;
    if (value && *value >= range.lowest && *value <= range.highest)
        return *value;
    reportUnlessOptional(key, range.fallback.has_value(),
                         fmt::format("a duration from \"{}\" to \"{}\" with the unit us, ms, s, min or h",
                                     formatDuration(range.lowest), formatDuration(range.highest)));
    return range.fallback.value_or(range.lowest);
}

bool TableReader::boolean(std::string_view key, bool fallback)
{
    const auto *node = find(key);
    if (node == nullptr)
        return fallback;
    const auto value = node->value_exact<bool>();
    if (!value)
        reportKey(key, "true or false");
    return value.value_or(fallback);
}

LocatedText TableReader::text(std::string_view key, std::string_view accepted)
{
    const auto *node = find(key);
    const auto value = node != nullptr ? node->value_exact<std::string>() : std::nullopt;
    if (!value || value->empty()) {
        reportKey(key, accepted);
        return {{}, line(), pathOf(key)};
    }
    return {*value, lineOf(*node), pathOf(key)};
}

std::string TableReader::optionalText(std::string_view key)
{
    const auto *node = find(key);
    if (node == nullptr)
        return {};
    const auto value = node->value_exact<std::string>();
    if (!value)
        reportKey(key, "a string");
    return value.value_or(std::string());
}

LocatedText TableReader::name(std::string_view key)
{
    auto found = text(key, AcceptedName);
    if (!found.text.empty() && !isName(found.text)) {
        reportKey(key, AcceptedName);
        found.text.clear();
    }
    return found;
}

const toml::array *TableReader::findArray(std::string_view key, std::string_view accepted)
{
    const auto *node = find(key);
    const auto *array = node != nullptr ? node->as_array() : nullptr;
    if (array == nullptr || array->empty()) {
        reportKey(key, accepted);
        return nullptr;
    }
    return array;
}

std::vector<LocatedText> TableReader::texts(std::string_view key, std::string_view accepted)
{
    std::vector<LocatedText> found;
    const auto *array = findArray(key, accepted);
    if (array == nullptr)
        return found;
    for (std::size_t position = 0; position < array->size(); ++position) {
        const auto &node = *array->get(position);
        const auto path = fmt::format("{}[{}]", pathOf(key), position);
        const auto value = node.value_exact<std::string>();
        if (value)
            found.push_back({*value, lineOf(node), path});
        else
            report(lineOf(node), path, shownValue(node), "a string");
    }
    return found;
}

std::vector<TableReader> TableReader::tables(std::string_view key)
{
    std::vector<TableReader> found;
    const auto *array = findArray(key, "at least one table");
    if (array == nullptr)
        return found;
    for (std::size_t position = 0; position < array->size(); ++position) {
        const auto &node = *array->get(position);
        const auto path = fmt::format("{}[{}]", pathOf(key), position);
        if (const auto *table = node.as_table())
            found.emplace_back(*table, path, *mistakes_);
        else
            report(lineOf(node), path, shownValue(node), "a table");
    }
    return found;
}

void TableReader::refuseUnknownKeys()
{
    for (const auto &[key, node] : *table_) {
        if (hasEnoughMistakes())
            return;
        if (known_.find(key.str()) == known_.end())
            report(key.source().begin.line, pathOf(key.str()), shownValue(node), knownKeys(known_));
    }
}

} // namespace Configuration
