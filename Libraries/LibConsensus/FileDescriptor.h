#pragma once

#include <unistd.h>
#include <utility>

namespace Consensus {

/// Owns a file descriptor; -1 means none.
class FileDescriptor
{
public:
    explicit FileDescriptor(int value = -1)
        : value_(value)
    {
    }
    FileDescriptor(FileDescriptor &&other) noexcept
        : value_(std::exchange(other.value_, -1))
    {
    }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        std::swap(value_, other.value_);
        return *this;
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;
    ~FileDescriptor()
    {
        if (value_ >= 0)
            ::close(value_);
    }

    int get() const { return value_; }
    bool isOpen() const { return value_ >= 0; }

private:
    int value_;
};

} // namespace Consensus
