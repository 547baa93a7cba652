#include "Services/Entry/VmList.h"

#include <fstream>
#include <sstream>

namespace Services {

bool VmList::reload()
{
    if (path_.empty())
        return false;
    std::ifstream file(path_);
    if (!file)
        return false;
    std::unordered_set<std::string> leaving;
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string address;
        std::string state;
        if (fields >> address >> state && state == "leaving")
            leaving.insert(address);
    }
    if (leaving == leaving_)
        return false;
    leaving_ = std::move(leaving);
    return true;
}

} // namespace Services
