#include "Services/Gateway/ExplainQuestion.h"

#include "LibBase/JsonLimits.h"
#include "LibSettings/Rule.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace Services {

namespace {

using nlohmann::json;

constexpr std::size_t LongestKey = 4095;

struct TextField
{
    std::string_view name;
    bool isRequired;
    std::string_view accepted;
    bool (*accepts)(std::string_view value);
};

constexpr std::string_view SizeField = "size";

std::vector<TextField> textFields()
{
    return {{"host", true, Settings::HostName.accepted, Settings::HostName.accepts},
            {"path", true, Settings::RequestPath.accepted, Settings::RequestPath.accepts},
            {"key", false, "1 to 4095 printable ASCII characters", &isCallerKey}};
}

std::vector<std::string> findMistakes(const json &question)
{
    std::vector<std::string> mistakes;
    const auto fields = textFields();
    for (const auto &field : fields) {
        const auto found = question.find(field.name);
        if (found == question.end()
                ? field.isRequired
                : !found->is_string() || !field.accepts(found->get_ref<const std::string &>()))
            mistakes.push_back(fmt::format("{}: accepted: {}", field.name, field.accepted));
    }
    if (const auto size = question.find(SizeField); size != question.end() && !size->is_number_unsigned())
        mistakes.push_back(fmt::format("{}: accepted: {}", SizeField, Settings::Number.accepted));
    // A name may be a misplaced secret, so that it is counted and not shown.
    const auto unknown =
        std::count_if(question.items().begin(), question.items().end(), [&](const auto &item) {
            return item.key() != SizeField
                   && std::none_of(fields.begin(), fields.end(),
                                   [&](const TextField &field) { return field.name == item.key(); });
        });
    if (unknown > 0)
        mistakes.push_back(fmt::format("{} other fields: accepted: host, path, key, size", unknown));
    return mistakes;
}

} // namespace

bool isCallerKey(std::string_view key)
{
    return !key.empty() && key.size() <= LongestKey
           && std::all_of(key.begin(), key.end(),
                          [](char character) { return character >= ' ' && character <= '~'; });
}

std::string formatExplainQuestion(const ExplainQuestion &question)
{
    json text {{"host", question.host}, {"path", question.path}, {SizeField, question.size}};
    if (question.key)
        text["key"] = *question.key;
    return text.dump();
}

Base::Result<ExplainQuestion> parseExplainQuestion(std::string_view text)
{
    if (!Base::isWithinJsonLimits(text))
        return Base::fail(Base::ErrorKind::InvalidRequest,
                          "the body is nested too deeply or holds too many values");
    const auto question = json::parse(text, nullptr, false);
    if (!question.is_object())
        return Base::fail(Base::ErrorKind::InvalidRequest, "the body is no JSON object");
    if (const auto mistakes = findMistakes(question); !mistakes.empty())
        return Base::fail(Base::ErrorKind::InvalidRequest, fmt::format("{}", fmt::join(mistakes, "; ")));
    ExplainQuestion parsed;
    parsed.host = question["host"].get<std::string>();
    parsed.path = question["path"].get<std::string>();
    if (question.contains("key"))
        parsed.key = question["key"].get<std::string>();
    parsed.size = question.value(SizeField, std::uint64_t {0});
    return parsed;
}

} // namespace Services
