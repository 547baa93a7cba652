// daisyroute-soak --seed=N --runs=N --seconds=N --directory=PATH
#include "Soak/SoakRun.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <string_view>

namespace {

std::string optionOf(int count, char **values, std::string_view name, std::string fallback)
{
    const auto prefix = fmt::format("--{}=", name);
    for (int index = 1; index < count; ++index) {
        if (const std::string_view value(values[index]); value.starts_with(prefix))
            return std::string(value.substr(prefix.size()));
    }
    return fallback;
}

} // namespace

int main(int count, char **values)
{
    // A full disk is simulated by a limit on the size of files; writes must fail instead of ending the
    // process, which inherits this.
    std::signal(SIGXFSZ, SIG_IGN);
    try {
        const auto firstSeed = std::stoull(optionOf(count, values, "seed", "1"));
        const auto runs = std::stoull(optionOf(count, values, "runs", "1"));
        const auto seconds = std::stoll(optionOf(count, values, "seconds", "8"));
        const auto base = std::filesystem::path(
            optionOf(count, values, "directory",
                     (std::filesystem::temp_directory_path() / "daisyroute-soak").string()));
        std::size_t failures = 0;
        for (auto seed = firstSeed; seed < firstSeed + runs; ++seed) {
            const auto directory = base / fmt::format("seed-{}", seed);
            std::filesystem::remove_all(directory);
            std::filesystem::create_directories(directory);
            std::vector<std::string> broken;
            {
                Soak::SoakRun run(seed, directory.string());
                broken = run.run(std::chrono::seconds(seconds));
                fmt::print("soak: {}\n", run.summary());
            }
            for (const auto &line : broken)
                fmt::print("soak: BROKEN {} (logs in {})\n", line, directory.string());
            failures += broken.size();
            if (broken.empty())
                std::filesystem::remove_all(directory);
        }
        return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return EXIT_FAILURE;
    }
}
