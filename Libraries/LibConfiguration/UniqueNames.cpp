#include "LibConfiguration/UniqueNames.h"

#include <fmt/format.h>

namespace Configuration {

bool UniqueNames::add(const LocatedText &name, TableReader &reader)
{
    if (name.text.empty())
        return true;
    const auto [position, inserted] = firstLines_.emplace(name.text, name.line);
    if (!inserted)
        reader.report(name.line, name.path, name.text,
                      fmt::format("a value that is not used yet; line {} has it", position->second));
    return inserted;
}

} // namespace Configuration
