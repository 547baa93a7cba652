#include "LibConsensus/DataDirectory.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <utility>

namespace Consensus {

namespace {

constexpr mode_t FileMode = 0600;

tl::unexpected<Base::Error> storageFailed(std::string_view action, const std::string &path, int error)
{
    return Base::fail(Base::ErrorKind::StorageFailed,
                      fmt::format("cannot {} {}: {}", action, path, std::generic_category().message(error)));
}

} // namespace

Base::Result<void> writeAll(const FileDescriptor &file, Base::ByteView data, const std::string &path)
{
    while (!data.empty()) {
        const auto written = ::write(file.get(), data.data(), data.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return storageFailed("write", path, errno);
        data = data.subspan(static_cast<std::size_t>(written));
    }
    return {};
}

Base::Result<void> syncFile(const FileDescriptor &file, const std::string &path)
{
    if (::fdatasync(file.get()) != 0)
        return storageFailed("sync", path, errno);
    return {};
}

DataDirectory::DataDirectory(std::string path, FileDescriptor lock)
    : path_(std::move(path))
    , lock_(std::move(lock))
{
}

Base::Result<DataDirectory> DataDirectory::create(std::string path)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error)
        return storageFailed("create", path, error.value());
    const auto lockPath = path + "/lock";
    FileDescriptor lock(::open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
    if (!lock.isOpen())
        return storageFailed("open", lockPath, errno);
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
        return Base::fail(Base::ErrorKind::StorageFailed,
                          fmt::format("the data directory {} is in use by another process", path));
    return DataDirectory(std::move(path), std::move(lock));
}

std::string DataDirectory::pathOf(std::string_view name) const
{
    return fmt::format("{}/{}", path_, name);
}

Base::Result<std::optional<Base::Bytes>> DataDirectory::read(std::string_view name) const
{
    const auto path = pathOf(name);
    const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.isOpen() && errno == ENOENT)
        return std::nullopt;
    struct stat information
    {
    };
    if (!file.isOpen() || ::fstat(file.get(), &information) != 0)
        return storageFailed("open", path, errno);
    Base::Bytes content(static_cast<std::size_t>(information.st_size));
    std::size_t filled = 0;
    while (filled < content.size()) {
        const auto count = ::read(file.get(), content.data() + filled, content.size() - filled);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return storageFailed("read", path, count < 0 ? errno : EIO);
        filled += static_cast<std::size_t>(count);
    }
    return content;
}

Base::Result<void> DataDirectory::replace(std::string_view name, Base::ByteView content) const
{
    const auto path = pathOf(name);
    const auto temporary = path + ".tmp";
    const FileDescriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode));
    if (!file.isOpen())
        return storageFailed("create", temporary, errno);
    if (auto result = writeAll(file, content, temporary); !result)
        return result;
    if (auto result = syncFile(file, temporary); !result)
        return result;
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return storageFailed("rename", temporary, errno);
    return syncDirectory();
}

Base::Result<FileDescriptor> DataDirectory::openForAppend(std::string_view name) const
{
    const auto path = pathOf(name);
    FileDescriptor file(::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
    if (!file.isOpen())
        return storageFailed("open", path, errno);
    return file;
}

Base::Result<void> DataDirectory::rename(std::string_view from, std::string_view to) const
{
    const auto path = pathOf(from);
    if (::rename(path.c_str(), pathOf(to).c_str()) != 0 && errno != ENOENT)
        return storageFailed("rename", path, errno);
    return {};
}

Base::Result<void> DataDirectory::syncDirectory() const
{
    const FileDescriptor directory(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!directory.isOpen())
        return storageFailed("open", path_, errno);
    if (::fsync(directory.get()) != 0)
        return storageFailed("sync", path_, errno);
    return {};
}

} // namespace Consensus
