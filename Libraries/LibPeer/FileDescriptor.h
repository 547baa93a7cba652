#pragma once

#include <unistd.h>
#include <utility>

namespace Peer {

/// Owns one file descriptor and closes it.
class FileDescriptor
{
public:
    explicit FileDescriptor(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    ~FileDescriptor() { reset(); }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;
    FileDescriptor(FileDescriptor &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        reset();
        descriptor_ = std::exchange(other.descriptor_, -1);
        return *this;
    }

    int get() const { return descriptor_; }
    bool isOpen() const { return descriptor_ >= 0; }

    /// Closes the descriptor early.
    void reset()
    {
        if (descriptor_ >= 0)
            ::close(std::exchange(descriptor_, -1));
    }

private:
    int descriptor_;
};

} // namespace Peer
