#include "Sessions/Process.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace Sessions {

namespace {

constexpr int LogFlags = O_WRONLY | O_CREAT | O_APPEND;
constexpr mode_t LogMode = 0600;

} // namespace

Process::Process(const std::vector<std::string> &arguments, const std::string &logPath)
{
    const auto program = std::string(DAISYROUTE_BINARY_DIR) + "/" + arguments.front();
    std::vector<char *> values;
    values.reserve(arguments.size() + 1);
    for (const auto &argument : arguments)
        values.push_back(const_cast<char *>(argument.c_str()));
    values.push_back(nullptr);
    posix_spawn_file_actions_t actions {};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(), LogFlags, LogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&id_, program.c_str(), &actions, nullptr, values.data(), environ) != 0)
        id_ = -1;
    posix_spawn_file_actions_destroy(&actions);
}

Process::Process(Process &&other) noexcept
    : id_(std::exchange(other.id_, -1))
    , exitCode_(other.exitCode_)
{
}

Process::~Process()
{
    if (id_ > 0) {
        signal(SIGKILL);
        wait();
    }
}

void Process::signal(int number) const
{
    if (id_ > 0)
        kill(id_, number);
}

int Process::decode(int status)
{
    id_ = -1;
    exitCode_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
    return exitCode_;
}

int Process::wait()
{
    int status = 0;
    if (id_ <= 0)
        return exitCode_;
    waitpid(id_, &status, 0);
    return decode(status);
}

bool Process::isRunning()
{
    int status = 0;
    if (id_ > 0 && waitpid(id_, &status, WNOHANG) == id_)
        decode(status);
    return id_ > 0;
}

} // namespace Sessions
