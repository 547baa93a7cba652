#include "LibConfiguration/DocumentParser.h"
#include "LibSettings/Lists.h"
#include "LoadGenerator/LoadRun.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace {

constexpr auto Usage = R"(Sends queries at times drawn from a seed and checks every answer.

Usage:
  load-generator --entries=ADDRESSES --document=FILE... --mix=MIX [options]

Options:
  --entries=ADDRESSES  Processes to ask for entry addresses, separated by commas.
  --document=FILE      Document that may be in effect; may be given several times.
  --mix=MIX            INDEX/CLASS/TENANT=WEIGHT,...; INDEX/CLASS/TENANT/once=WEIGHT runs at most once.
  --rate=NUMBER        Queries per second [default: 20].
  --queries=NUMBER     Number of queries [default: 200].
  --seed=NUMBER        Seed of the arrivals [default: 1].
  --threads=NUMBER     Queries in flight at most [default: 96].
  --timeout-ms=NUMBER  Longest wait for one answer [default: 10000].
  --run-id=TEXT        Beginning of the request ids; must be new for the system [default: load].
  --json=FILE          Also writes the report to this file.
)";

using Arguments = std::map<std::string, docopt::value>;

Base::Result<std::vector<Configuration::Document>> readDocuments(const std::vector<std::string> &paths)
{
    std::vector<Configuration::Document> documents;
    for (const auto &path : paths) {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        auto outcome = Configuration::parseDocument(text.str());
        if (!outcome.document)
            return Base::fail(Base::ErrorKind::DocumentInvalid,
                              path + ": " + Configuration::describe(outcome.mistakes.front()));
        documents.push_back(std::move(*outcome.document));
    }
    return documents;
}

Base::Result<int> run(Arguments &arguments)
{
    auto documents = readDocuments(arguments["--document"].asStringList());
    if (!documents)
        return tl::unexpected(documents.error());
    const auto mix = Load::parseMix(arguments["--mix"].asString());
    if (!mix)
        return tl::unexpected(mix.error());
    const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    Load::EntryDirectory directory(Settings::splitList(arguments["--entries"].asString()), seed);
    const Load::AnswerChecker checker(std::move(*documents));
    const auto timeout = Base::milliseconds(arguments["--timeout-ms"].asLong());
    Load::Caller caller(directory, checker, *mix, arguments["--run-id"].asString(), timeout);
    Load::RunReport report;
    const auto count = static_cast<std::uint64_t>(arguments["--queries"].asLong());
    const auto rate = std::stod(arguments["--rate"].asString());
    Load::LoadRun(caller, report, Load::drawArrivals(*mix, rate, count, seed))
        .run(static_cast<int>(arguments["--threads"].asLong()));
    if (arguments["--json"])
        std::ofstream(arguments["--json"].asString()) << report.toJson().dump(2) << '\n';
    fmt::print("load: reasons {}\n{}\n", report.toJson()["reasons"].dump(), report.toLine());
    return report.hasWrongAnswers() ? 1 : 0;
}

} // namespace

int main(int count, char **values)
{
    auto arguments = docopt::docopt(Usage, {values + 1, values + count});
    try {
        const auto result = run(arguments);
        if (result)
            return *result;
        fmt::print(stderr, "load: {}\n", result.error().detail);
    } catch (const std::exception &error) {
        fmt::print(stderr, "load: {}\n", error.what());
    }
    return 2;
}
