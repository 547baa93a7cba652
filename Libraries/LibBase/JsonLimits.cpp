#include "LibBase/JsonLimits.h"

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

bool holdsMoreValuesThan(std::string_view text, std::size_t count)
{
    std::size_t values = 1;
    bool quoted = false;
    for (std::size_t position = 0; position < text.size() && values <= count; ++position) {
        const char c = text[position];
        if (quoted && c == '\\')
            ++position;
        else if (c == '"')
            quoted = !quoted;
        else if (!quoted && (c == '{' || c == '[' || c == ','))
            ++values;
    }
    return values > count;
}

bool isWithinJsonLimits(std::string_view text)
{
    return !isNestedDeeperThan(text, MaxJsonDepth) && !holdsMoreValuesThan(text, MaxJsonValues);
}

} // namespace Base
