#pragma once

#include "LibBase/Clock.h"
#include "LibEdge/MemoryAccount.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace Edge {

/// Counts the bytes of unfinished responses on all connections of a process, and keeps them under a limit.
/// Load pattern: servers in trouble send bytes without end on many connections at once, each of them within
/// the limit of one response.
class ReplyMemory
{
public:
    /// What is counted here is charged to `account` as well.
    explicit ReplyMemory(std::size_t limitBytes, std::shared_ptr<MemoryAccount> account = nullptr)
        : limitBytes_(limitBytes)
        , account_(std::move(account))
    {
    }

    /// Changes what one response holds from `before` to `after` bytes. Returns false, and changes nothing,
    /// when that would pass the limit.
    bool resize(std::size_t before, std::size_t after)
    {
        const auto wanted = heldBytes_ - before + after;
        if (after > before && wanted > limitBytes_)
            return false;
        if (account_ && !account_->resize(clock_.now(), before, after))
            return false;
        heldBytes_ = wanted;
        return true;
    }

    std::size_t heldBytes() const { return heldBytes_; }

private:
    std::size_t limitBytes_;
    std::size_t heldBytes_ = 0;
    std::shared_ptr<MemoryAccount> account_;
    Base::SystemClock clock_;
};

} // namespace Edge
