#pragma once

#include "LibControl/ControlState.h"

#include <cstdint>
#include <functional>
#include <map>

namespace Control {

/// Proposals of this node that wait to be applied. Each one is answered exactly once.
class ProposalTable
{
public:
    /// Gets what the command returned. NotLeader means that it was not committed; OutcomeUnknown that it may
    /// be committed later.
    using Done = std::function<void(Base::Result<ApplyValue>)>;

    void add(std::uint64_t index, std::uint64_t term, Done done);

    /// Answers the proposal at `index` if it was made in `term`. An entry of another term at its index
    /// proves that the proposal was overwritten.
    void complete(std::uint64_t index, std::uint64_t term, const Base::Result<ApplyValue> &result);

    /// Answers all proposals with OutcomeUnknown.
    void abandon();

    bool empty() const { return waiting_.empty(); }

private:
    struct Waiting
    {
        std::uint64_t term = 0;
        Done done;
    };

    std::map<std::uint64_t, Waiting> waiting_; ///< By log index.
};

} // namespace Control
