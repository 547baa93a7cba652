#pragma once

#include "LibBase/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace Load {

/// One kind of query in the mix.
struct QueryKind
{
    std::string index;
    std::string trafficClass;
    std::string tenant;
    bool idempotent = true;
    double weight = 1;
};

/// Parses "INDEX/CLASS/TENANT=WEIGHT,…"; "INDEX/CLASS/TENANT/once=WEIGHT" is a non-idempotent kind.
Base::Result<std::vector<QueryKind>> parseMix(std::string_view text);

} // namespace Load
