#include "LibQuery/Tables.h"

namespace Query {

namespace {

constexpr Base::Duration AssumedLatency = Base::milliseconds(5);

} // namespace

Base::Duration Tables::typicalLatency(const std::string &index)
{
    return latencyByIndex[index].quantile(0.5).value_or(AssumedLatency);
}

} // namespace Query
