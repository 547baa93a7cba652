#include "LibBase/JsonLimits.h"

namespace Base {

namespace {

/// Calls `goesOn` with each character outside of strings, until it returns false or the text ends.
template<typename GoesOn>
void visitOutsideStrings(std::string_view text, const GoesOn &goesOn)
{
    bool quoted = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char c = text[position];
        if (quoted && c == '\\')
            ++position;
        else if (c == '"')
            quoted = !quoted;
        else if (!quoted && !goesOn(c))
            return;
    }
}

} // namespace

bool isNestedDeeperThan(std::string_view text, int levels)
{
    int depth = 0;
    visitOutsideStrings(text, [&depth, levels](char c) {
        if (c == '{' || c == '[')
            ++depth;
        else if (c == '}' || c == ']')
            --depth;
        return depth <= levels;
    });
    return depth > levels;
}

bool holdsMoreValuesThan(std::string_view text, std::size_t count)
{
    std::size_t values = 1;
    visitOutsideStrings(text, [&values, count](char c) {
        if (c == '{' || c == '[' || c == ',')
            ++values;
        return values <= count;
    });
    return values > count;
}

bool isWithinJsonLimits(std::string_view text)
{
    return !isNestedDeeperThan(text, MaxJsonDepth) && !holdsMoreValuesThan(text, MaxJsonValues);
}

} // namespace Base
