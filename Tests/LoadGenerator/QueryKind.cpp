#include "LoadGenerator/QueryKind.h"

#include "LibSettings/Lists.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <cstdlib>
#include <fmt/format.h>

namespace Load {

namespace {

constexpr std::size_t PartsOfIdempotent = 3;
constexpr std::size_t PartsOfNonIdempotent = 4;

} // namespace

Base::Result<std::vector<QueryKind>> parseMix(std::string_view text)
{
    std::vector<QueryKind> kinds;
    for (const auto &[name, weight] : Settings::splitMembers(text)) {
        std::vector<std::string> parts;
        boost::algorithm::split(parts, name, boost::algorithm::is_any_of("/"));
        const bool once = parts.size() == PartsOfNonIdempotent && parts.back() == "once";
        const double value = std::strtod(weight.c_str(), nullptr);
        if ((parts.size() != PartsOfIdempotent && !once) || !(value > 0))
            return Base::fail(Base::ErrorKind::SettingInvalid,
                              fmt::format("--mix: {}={} is not accepted; accepted: INDEX/CLASS/TENANT=WEIGHT "
                                          "or INDEX/CLASS/TENANT/once=WEIGHT",
                                          name, weight));
        kinds.push_back({parts[0], parts[1], parts[2], !once, value});
    }
    if (kinds.empty())
        return Base::fail(Base::ErrorKind::SettingInvalid, "--mix: a value is missing");
    return kinds;
}

} // namespace Load
