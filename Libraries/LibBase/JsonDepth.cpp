#include "LibBase/JsonDepth.h"

#include <cstddef>

namespace Base {

bool isNestedDeeperThan(std::string_view text, int levels)
{
    int depth = 0;
    bool quoted = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char c = text[position];
        if (quoted && c == '\\')
            ++position;
        else if (c == '"')
            quoted = !quoted;
        else if (!quoted && (c == '{' || c == '['))
            ++depth;
        else if (!quoted && (c == '}' || c == ']'))
            --depth;
        if (depth > levels)
            return true;
    }
    return false;
}

} // namespace Base
