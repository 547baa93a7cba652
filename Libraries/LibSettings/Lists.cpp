#include "LibSettings/Lists.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

namespace Settings {

std::vector<std::string> splitList(std::string_view value)
{
    std::vector<std::string> items;
    if (!value.empty())
        boost::algorithm::split(items, value, boost::algorithm::is_any_of(","));
    return items;
}

std::vector<std::pair<std::string, std::string>> splitMembers(std::string_view value)
{
    std::vector<std::pair<std::string, std::string>> members;
    for (const auto &item : splitList(value)) {
        const auto separator = item.find('=');
        if (separator == std::string::npos)
            members.emplace_back(item, std::string());
        else
            members.emplace_back(item.substr(0, separator), item.substr(separator + 1));
    }
    return members;
}

} // namespace Settings
