#include "Services/Entry/QueryParser.h"

#include "LibBase/JsonLimits.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Services {

using Base::ErrorKind;
using nlohmann::json;

namespace {

/// Request ids go into a header of backend requests, so they are short and plain.
constexpr std::size_t MaxRequestIdLength = 128;

/// Deepest nesting of the JSON text. A query is one flat object; deeper input only costs time.
constexpr int MaxDepth = 4;

constexpr std::int64_t MaxDeadlineMilliseconds = 600'000;

constexpr std::array<std::string_view, 9> KnownFields {
    "request_id", "index", "class", "tenant", "deadline_ms", "idempotent", "shard", "created_at_ms", "body",
};

auto invalid(std::string detail)
{
    return Base::fail(ErrorKind::InvalidRequest, std::move(detail));
}

/// Reads the fields of one object and keeps the first mistake.
class FieldReader
{
public:
    explicit FieldReader(const json &object)
        : object_(object)
    {
    }

    std::string text(const char *name)
    {
        const auto found = object_.find(name);
        if (found == object_.end())
            return mistake<std::string>(fmt::format("field '{}' is missing", name));
        if (!found->is_string())
            return mistake<std::string>(fmt::format("field '{}' is not a string", name));
        return found->get<std::string>();
    }

    std::int64_t integer(const char *name, std::int64_t least, std::int64_t most)
    {
        const auto found = object_.find(name);
        if (found == object_.end())
            return mistake<std::int64_t>(fmt::format("field '{}' is missing", name));
        const bool fits = found->is_number_unsigned() && found->get<std::uint64_t>() <= std::uint64_t(most);
        if (!fits || found->get<std::int64_t>() < least)
            return mistake<std::int64_t>(
                fmt::format("field '{}' is not an integer from {} to {}", name, least, most));
        return found->get<std::int64_t>();
    }

    bool flag(const char *name, bool fallback)
    {
        const auto found = object_.find(name);
        if (found == object_.end())
            return fallback;
        if (!found->is_boolean())
            return mistake<bool>(fmt::format("field '{}' is neither true nor false", name));
        return found->get<bool>();
    }

    bool has(const char *name) const { return object_.contains(name); }

    template<typename Value>
    Value mistake(std::string detail)
    {
        if (mistake_.empty())
            mistake_ = std::move(detail);
        return {};
    }

    const std::string &firstMistake() const { return mistake_; }

private:
    const json &object_;
    std::string mistake_;
};

bool isPlain(const std::string &requestId)
{
    const auto isVisible = [](char c) { return c > ' ' && c < '\x7f'; };
    return !requestId.empty() && requestId.size() <= MaxRequestIdLength
           && std::all_of(requestId.begin(), requestId.end(), isVisible);
}

void readNonIdempotent(FieldReader &fields, Query::CallerQuery &query)
{
    if (query.idempotent) {
        for (const auto *name : {"shard", "created_at_ms"}) {
            if (fields.has(name))
                fields.mistake<int>(
                    fmt::format("field '{}' is accepted only when 'idempotent' is false", name));
        }
        return;
    }
    query.shard = fields.text("shard");
    query.createdAtMilliseconds =
        fields.integer("created_at_ms", 1, std::numeric_limits<std::int64_t>::max());
}

void rejectUnknownFields(const json &object, FieldReader &fields)
{
    for (const auto &item : object.items()) {
        if (std::find(KnownFields.begin(), KnownFields.end(), item.key()) == KnownFields.end())
            fields.mistake<int>(
                fmt::format("field '{}' is not known", item.key().substr(0, MaxRequestIdLength)));
    }
}

Base::Result<Query::CallerQuery> readQuery(const json &object)
{
    FieldReader fields(object);
    rejectUnknownFields(object, fields);
    Query::CallerQuery query;
    query.requestId = fields.text("request_id");
    query.index = fields.text("index");
    query.trafficClass = fields.text("class");
    query.tenant = fields.text("tenant");
    if (fields.has("deadline_ms"))
        query.deadline = Base::milliseconds(fields.integer("deadline_ms", 1, MaxDeadlineMilliseconds));
    query.idempotent = fields.flag("idempotent", true);
    readNonIdempotent(fields, query);
    query.body = fields.text("body");
    if (!isPlain(query.requestId))
        fields.mistake<int>(
            fmt::format("field 'request_id' is not 1 to {} visible ASCII characters", MaxRequestIdLength));
    if (!fields.firstMistake().empty())
        return invalid(fields.firstMistake());
    return query;
}

} // namespace

Base::Result<Query::CallerQuery> parseQuery(std::string_view body)
{
    if (Base::isNestedDeeperThan(body, MaxDepth))
        return invalid("the body is nested too deeply");
    if (Base::holdsMoreValuesThan(body, Base::MaxJsonValues))
        return invalid("the body holds too many values");
    try {
        const auto object = json::parse(body);
        if (!object.is_object())
            return invalid("the body is not a JSON object");
        return readQuery(object);
    } catch (const json::exception &exception) {
        return invalid(fmt::format("the body is not valid JSON: {}", exception.what()));
    }
}

} // namespace Services
