#pragma once

#include "LibControl/ControlState.h"

#include <cstdint>
#include <functional>
#include <map>

namespace Control {

/// Proposals of this node that are not applied yet. Each handler is called exactly once.
class ProposalTable
{
public:
    /// Receives the result of the command. NotLeader means that it was not committed; OutcomeUnknown that it
    /// may be committed later.
    using Done = std::function<void(Base::Result<ApplyValue>)>;

    void add(std::uint64_t index, std::uint64_t term, Done done);

    /// Completes the proposal at `index`: with `result` if it was made in `term`, otherwise with NotLeader,
    /// since an entry of another term at its index proves that it was overwritten.
    void complete(std::uint64_t index, std::uint64_t term, const Base::Result<ApplyValue> &result);

    /// Fails all proposals with OutcomeUnknown.
    void failAll();

    bool empty() const { return pending_.empty(); }

private:
    struct Pending
    {
        std::uint64_t term = 0;
        Done done;
    };

    std::map<std::uint64_t, Pending> pending_; ///< By log index.
};

} // namespace Control
