#include "LibBase/Incarnation.h"

#include <algorithm>
#include <random>

namespace Base {

std::uint64_t makeIncarnation()
{
    std::random_device device;
    const auto value = (std::uint64_t {device()} << 32U) | device();
    return std::max<std::uint64_t>(value, 1);
}

} // namespace Base
