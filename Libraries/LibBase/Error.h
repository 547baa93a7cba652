#pragma once

#include "LibBase/ErrorKind.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace Base {

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
    return tl::unexpected<Error>(Error {kind, std::move(detail)});
}

} // namespace Base
