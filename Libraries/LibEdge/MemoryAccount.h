#pragma once

#include "LibBase/Time.h"

#include <boost/intrusive/list.hpp>
#include <cstddef>

namespace Edge {

/// Something that holds memory on behalf of a peer and can be ended to get it back.
class MemoryHolder
    : public boost::intrusive::list_base_hook<boost::intrusive::tag<class MemoryHolder>,
                                              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~MemoryHolder() = default;

    /// Bytes that giveWay() would return; 0 while the holder must not be ended.
    virtual std::size_t releasableBytes() const = 0;
    /// When the peer last sent something, or took something of its answer.
    virtual Base::Instant lastProgress() const = 0;
    /// Ends what is held and takes it off the account.
    virtual void giveWay() = 0;
};

/// Counts the bytes that a process holds on behalf of its peers and keeps them under a limit: each buffer is
/// charged before it grows. When there is no room, holders give way, the one with the largest product of
/// bytes and time without progress first. Load pattern: peers that send much and stop, or do not take their
/// answers, beside ordinary callers. Not thread-safe.
class MemoryAccount
{
public:
    explicit MemoryAccount(std::size_t limitBytes)
        : limitBytes_(limitBytes)
    {
    }

    /// Adds a holder until it is unlinked or destroyed.
    void add(MemoryHolder &holder) { holders_.push_back(holder); }

    /// Changes a charge from `before` to `after` bytes, for which holders other than `asking` may have to
    /// give way. Returns false, and changes nothing, when there is no room or when `asking` itself is the
    /// first in the order.
    bool resize(Base::Instant now, std::size_t before, std::size_t after,
                const MemoryHolder *asking = nullptr);

    /// The same for what exists already, such as an answer. Any holder may have to give way for it, also the
    /// one that it belongs to; without one the limit is passed.
    void force(Base::Instant now, std::size_t before, std::size_t after);

    std::size_t heldBytes() const { return heldBytes_; }
    std::size_t limitBytes() const { return limitBytes_; }

    /// True once after each large decrease; the allocator then holds memory that it may return.
    bool takeDecrease();

private:
    using Hook = boost::intrusive::list_base_hook<boost::intrusive::tag<MemoryHolder>,
                                                  boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    using Holders = boost::intrusive::list<MemoryHolder, boost::intrusive::base_hook<Hook>,
                                           boost::intrusive::constant_time_size<false>>;

    MemoryHolder *firstToGive(Base::Instant now);
    bool makeRoom(Base::Instant now, std::size_t growth, const MemoryHolder *asking);
    void change(std::size_t before, std::size_t after);

    std::size_t limitBytes_;
    std::size_t heldBytes_ = 0;
    std::size_t highestBytes_ = 0; ///< Since the last decrease that was taken.
    Holders holders_;
};

} // namespace Edge
