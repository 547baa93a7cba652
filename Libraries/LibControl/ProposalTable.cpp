#include "LibControl/ProposalTable.h"

#include <utility>

namespace Control {

void ProposalTable::add(std::uint64_t index, std::uint64_t term, Done done)
{
    pending_[index] = {term, std::move(done)};
}

void ProposalTable::complete(std::uint64_t index, std::uint64_t term, const Base::Result<ApplyValue> &result)
{
    const auto found = pending_.find(index);
    if (found == pending_.end())
        return;
    // The handler may propose again, so the proposal is removed from the table first.
    auto proposal = std::move(found->second);
    pending_.erase(found);
    if (proposal.term == term)
        proposal.done(result);
    else
        proposal.done(Base::fail(Base::ErrorKind::NotLeader, "another leader overwrote the proposal"));
}

void ProposalTable::failAll()
{
    auto proposals = std::exchange(pending_, {});
    for (auto &[index, proposal] : proposals)
        proposal.done(Base::fail(Base::ErrorKind::OutcomeUnknown, "leadership was lost before the commit"));
}

} // namespace Control
