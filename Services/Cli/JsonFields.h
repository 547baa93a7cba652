#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace Services {

// Read what a process answered; fields that are missing, or of another kind, do not end a command.

inline nlohmann::json fieldOf(const nlohmann::json &object, const char *key)
{
    return object.is_object() ? object.value(key, nlohmann::json()) : nlohmann::json();
}

inline nlohmann::json listOf(const nlohmann::json &object, const char *key)
{
    auto value = fieldOf(object, key);
    return value.is_array() ? value : nlohmann::json::array();
}

/// A text as it is, anything else as JSON.
inline std::string textOf(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

inline std::string textOf(const nlohmann::json &object, const char *key)
{
    return textOf(fieldOf(object, key));
}

} // namespace Services
