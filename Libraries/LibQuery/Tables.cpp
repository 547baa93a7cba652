#include "LibQuery/Tables.h"

namespace Query {

namespace {

constexpr Base::Duration DefaultLatency = Base::milliseconds(5);

} // namespace

Base::Duration Tables::typicalLatency(const std::string &index)
{
    return latencyByIndex[index].quantile(0.5).value_or(DefaultLatency);
}

} // namespace Query
