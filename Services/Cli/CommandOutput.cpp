#include "Services/Cli/CommandOutput.h"

#include "LibConfiguration/DocumentParser.h"
#include "LibSettings/KeyFile.h"
#include "Services/Cli/ServiceCommands.h"

#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sstream>

namespace Services {

int printError(const Base::Error &error)
{
    fmt::print(stderr, "{}: {} {}\n", Base::errorName(error.kind), Base::errorAnswer(error.kind).message,
               error.detail);
    return ExitFailure;
}

nlohmann::json parseBody(const Http::Response &response)
{
    auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() ? body : nlohmann::json::object();
}

int printErrorBody(const Http::Response &response)
{
    const auto body = parseBody(response);
    fmt::print(stderr, "{}: {} {}\n", body.value("error", fmt::format("status {}", response.status)),
               body.value("message", ""), body.value("detail", ""));
    for (const auto &mistake : body.value("mistakes", nlohmann::json::array()))
        fmt::print(stderr, "{}\n",
                   Configuration::describe({mistake.value("line", 0U), mistake.value("path", ""),
                                            mistake.value("value", ""), mistake.value("accepted", "")}));
    if (body.contains("winner"))
        fmt::print(stderr, "The change that won: {}\n", body["winner"].dump());
    return ExitFailure;
}

Base::Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file.is_open() || !text.good())
        return Base::fail(Base::ErrorKind::NotFound, fmt::format("{} cannot be read", path));
    return text.str();
}

Base::Result<OperatorClient> makeOperatorClient(const Settings::CommandLine &line)
{
    const auto key = Settings::readKeyFile(line.text("key-file"));
    if (!key)
        return tl::unexpected(key.error());
    const auto timeout = Base::milliseconds(line.number("timeout-ms"));
    return OperatorClient(line.list("control-http-addresses"), *key, timeout);
}

std::string randomId()
{
    std::random_device device;
    std::string id;
    for (int part = 0; part < 4; ++part)
        id += fmt::format("{:08x}", device());
    return id;
}

} // namespace Services
