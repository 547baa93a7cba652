#include "LibEdge/MemoryAccount.h"

#include <algorithm>

namespace Edge {

namespace {

/// Ordinary requests hold less than this and never give way to others.
constexpr std::size_t MinReleasedBytes = std::size_t {4} * 1024;
/// A decrease below this is left to the allocator.
constexpr std::size_t LargeDecrease = std::size_t {4} * 1024 * 1024;

} // namespace

MemoryHolder *MemoryAccount::firstToGive(Base::Instant now)
{
    MemoryHolder *first = nullptr;
    double largest = 0.0;
    for (auto &holder : holders_) {
        const auto bytes = holder.releasableBytes();
        if (bytes < MinReleasedBytes)
            continue;
        const auto waited = std::max<Base::Duration>(Base::milliseconds(1), now - holder.lastProgress());
        const double weight = static_cast<double>(bytes) * Base::toMilliseconds(waited);
        if (weight > largest) {
            largest = weight;
            first = &holder;
        }
    }
    return first;
}

/// Returns false when there is no room, or `asking` is the one that has to give way.
bool MemoryAccount::makeRoom(Base::Instant now, std::size_t growth, const MemoryHolder *asking)
{
    while (heldBytes_ + growth > limitBytes_) {
        auto *holder = firstToGive(now);
        if (holder == nullptr || holder == asking)
            return false;
        const auto held = heldBytes_;
        holder->giveWay();
        if (heldBytes_ >= held)
            return false;
    }
    return true;
}

void MemoryAccount::change(std::size_t before, std::size_t after)
{
    heldBytes_ = heldBytes_ - before + after;
    highestBytes_ = std::max(highestBytes_, heldBytes_);
}

bool MemoryAccount::resize(Base::Instant now, std::size_t before, std::size_t after,
                           const MemoryHolder *asking)
{
    if (after > before && !makeRoom(now, after - before, asking))
        return false;
    change(before, after);
    return true;
}

void MemoryAccount::force(Base::Instant now, std::size_t before, std::size_t after)
{
    change(before, after);
    if (after > before)
        (void)makeRoom(now, 0, nullptr);
}

bool MemoryAccount::takeDecrease()
{
    if (highestBytes_ < heldBytes_ + LargeDecrease)
        return false;
    highestBytes_ = heldBytes_;
    return true;
}

} // namespace Edge
