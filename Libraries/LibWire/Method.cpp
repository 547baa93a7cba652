#include "LibWire/Method.h"

#include <array>
#include <cstddef>

namespace Wire {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Method::Count)> Names {
    "raft-message",       "renew-lease",        "fetch-document",        "claim-request",
    "record-outcome",     "execute-subrequest", "observe-backends",      "introduce-node",
    "watch-registry",     "join-cluster",       "share-state",           "submit-configuration",
    "read-configuration", "leave-cluster",      "confirm-configuration", "take-allowance",
    "change-evacuation",
};

} // namespace

std::string_view methodName(Method method)
{
    const auto index = static_cast<std::size_t>(method);
    return index < Names.size() ? Names[index] : "unknown";
}

std::optional<Method> methodFromName(std::string_view name)
{
    for (std::size_t index = 0; index < Names.size(); ++index) {
        if (Names[index] == name)
            return static_cast<Method>(index);
    }
    return std::nullopt;
}

} // namespace Wire
