#include "LibMetrics/Labels.h"

#include <fmt/format.h>

namespace Metrics {

namespace {

std::string escape(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            text += '\\';
        if (c == '\n')
            text += "\\n";
        else
            text += c;
    }
    return text;
}

} // namespace

std::string formatLabels(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels)
        fmt::format_to(std::back_inserter(text), "{}{}=\"{}\"", text.empty() ? "{" : ",", name,
                       escape(value));
    if (!text.empty())
        text += '}';
    return text;
}

} // namespace Metrics
