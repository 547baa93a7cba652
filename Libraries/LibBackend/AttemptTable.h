#pragma once

#include "LibBackend/Attempt.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Backend {

/// Owns all attempts of this process by attempt id.
class AttemptTable
{
public:
    /// Returns nothing when the id is already present.
    Attempt *insert(std::unique_ptr<Attempt> attempt);
    Attempt *find(std::string_view attemptId);
    void erase(std::string_view attemptId);
    std::size_t size() const { return attempts_.size(); }

private:
    std::unordered_map<std::string, std::unique_ptr<Attempt>> attempts_;
};

} // namespace Backend
