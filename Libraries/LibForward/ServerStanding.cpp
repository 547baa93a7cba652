#include "LibForward/ServerStanding.h"

#include <array>

namespace Forward {

std::string_view obstacleName(Obstacle obstacle)
{
    constexpr std::array<std::string_view, 9> Names {
        "none", "not_ready", "displaced", "evacuated", "misdirected", "left", "paused", "full", "no_unit"};
    return Names.at(static_cast<std::size_t>(obstacle));
}

} // namespace Forward
