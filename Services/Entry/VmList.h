#pragma once

#include <string>
#include <unordered_set>

namespace Services {

/// The platform's list of VMs: one line "<ip> <state>" for each, where the state is "live" or "leaving".
class VmList
{
public:
    explicit VmList(std::string path)
        : path_(std::move(path))
    {
    }

    /// Reads the file again; returns true when the leaving VMs changed. A file that cannot be read keeps the
    /// last list, because the list lags anyway.
    bool reload();

    const std::unordered_set<std::string> &leaving() const { return leaving_; }

private:
    std::string path_;
    std::unordered_set<std::string> leaving_;
};

} // namespace Services
