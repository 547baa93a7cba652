#pragma once

#include "LibConfiguration/TableReader.h"

#include <map>
#include <string>

namespace Configuration {

/// Finds values that must be unique but occur twice.
class UniqueNames
{
public:
    /// Remembers `name`; returns false and reports a mistake when it was seen before. Empty texts were
    /// reported by the reader already and are ignored.
    bool add(const LocatedText &name, TableReader &reader);

private:
    std::map<std::string, std::uint32_t, std::less<>> firstLines_;
};

} // namespace Configuration
