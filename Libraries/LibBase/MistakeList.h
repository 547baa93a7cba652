#pragma once

#include <cstddef>
#include <fmt/format.h>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

namespace Base {

/// What is wrong with one message. Only the first mistakes are kept, because a message may hold one in every
/// few bytes. Readers of a message stop early once the list is full.
class MistakeList
{
public:
    static constexpr std::size_t MaxMistakes = 50;
    static constexpr std::size_t MaxMistakeBytes = 256;

    template<typename... Arguments>
    void add(fmt::format_string<Arguments...> format, Arguments &&...arguments)
    {
        if (isFull())
            return;
        auto &mistake = mistakes_.emplace_back();
        fmt::format_to_n(std::back_inserter(mistake), MaxMistakeBytes, format,
                         std::forward<Arguments>(arguments)...);
    }

    bool empty() const { return mistakes_.empty(); }
    bool isFull() const { return mistakes_.size() >= MaxMistakes; }
    std::size_t size() const { return mistakes_.size(); }

    /// Returns the mistakes with `separator` between them. A list that is full says that there may be more.
    std::string text(std::string_view separator) const
    {
        auto joined = fmt::format("{}", fmt::join(mistakes_, separator));
        if (isFull())
            joined += fmt::format("{}further mistakes are left out", separator);
        return joined;
    }

private:
    std::vector<std::string> mistakes_;
};

} // namespace Base
