#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

/// Directory that is removed at the end of a test.
class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "daisyroute-XXXXXX").string();
        path_ = ::mkdtemp(pattern.data());
    }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;
    ~TemporaryDirectory()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }

    const std::string &path() const { return path_; }

private:
    std::string path_;
};
