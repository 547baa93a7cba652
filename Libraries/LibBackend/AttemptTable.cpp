#include "LibBackend/AttemptTable.h"

namespace Backend {

Attempt *AttemptTable::insert(std::unique_ptr<Attempt> attempt)
{
    const auto &attemptId = attempt->request.attemptId;
    const auto [position, inserted] = attempts_.try_emplace(attemptId, std::move(attempt));
    return inserted ? position->second.get() : nullptr;
}

Attempt *AttemptTable::find(std::string_view attemptId)
{
    const auto found = attempts_.find(std::string(attemptId));
    return found == attempts_.end() ? nullptr : found->second.get();
}

void AttemptTable::erase(std::string_view attemptId)
{
    attempts_.erase(std::string(attemptId));
}

} // namespace Backend
