#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Sessions {

/// One program that a test started. It is killed at the end when it still runs.
class Process
{
public:
    /// Starts `arguments[0]` from the build's directory with its output in `logPath`.
    Process(const std::vector<std::string> &arguments, const std::string &logPath);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Process id; -1 after its end was seen.
    pid_t id() const { return id_; }

    /// Waits for the end; returns the exit code, or minus the signal that ended it.
    int wait();

    /// Returns whether it has not ended yet.
    bool isRunning();

private:
    int decode(int status);

    pid_t id_ = -1;
    int exitCode_ = 0;
};

} // namespace Sessions
