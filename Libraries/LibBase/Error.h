#pragma once

#include "LibBase/ErrorKind.h"

#include <cstddef>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace Base {

/// Longest detail of an error. Details go into log lines, answers and messages, and parts of them may come
/// from the message that was refused.
constexpr std::size_t MaxErrorDetailBytes = std::size_t {16} * 1024;

/// An error kind with a sentence about this occurrence.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;

    bool operator==(const Error &) const = default;
};

/// A value or an Error.
template<typename T>
using Result = tl::expected<T, Error>;

/// Builds the error side of a Result.
inline tl::unexpected<Error> fail(ErrorKind kind, std::string detail = {})
{
    if (detail.size() > MaxErrorDetailBytes)
        detail.resize(MaxErrorDetailBytes);
    return tl::unexpected<Error>(Error {kind, std::move(detail)});
}

} // namespace Base
