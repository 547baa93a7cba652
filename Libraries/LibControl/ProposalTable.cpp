#include "LibControl/ProposalTable.h"

#include <utility>

namespace Control {

void ProposalTable::add(std::uint64_t index, std::uint64_t term, Done done)
{
    waiting_[index] = {term, std::move(done)};
}

void ProposalTable::complete(std::uint64_t index, std::uint64_t term, const Base::Result<ApplyValue> &result)
{
    const auto found = waiting_.find(index);
    if (found == waiting_.end())
        return;
    // The handler may propose again, so its entry leaves the table first.
    auto waiting = std::move(found->second);
    waiting_.erase(found);
    if (waiting.term == term)
        waiting.done(result);
    else
        waiting.done(Base::fail(Base::ErrorKind::NotLeader, "another leader overwrote the proposal"));
}

void ProposalTable::abandon()
{
    auto waiting = std::exchange(waiting_, {});
    for (auto &[index, proposal] : waiting)
        proposal.done(Base::fail(Base::ErrorKind::OutcomeUnknown, "leadership was lost before the commit"));
}

} // namespace Control
