#include "LoadGenerator/AnswerChecker.h"

#include <algorithm>
#include <fmt/format.h>

namespace Load {

namespace {

/// Checks the body of one shard, which names everything that the backend server saw.
std::string findShardFault(const nlohmann::json &answer, const std::string &shard, const nlohmann::json &body,
                           const ExpectedAnswer &expected)
{
    const auto result = nlohmann::json::parse(body.get<std::string>(), nullptr, false);
    if (!result.is_object())
        return fmt::format("shard {} has a damaged body", shard);
    if (result.value("shard", "") != shard)
        return fmt::format("shard {} has the body of shard {}", shard, result.value("shard", ""));
    if (result.value("index", "") != expected.index)
        return fmt::format("shard {} answered from index {}", shard, result.value("index", ""));
    if (result.value("request_id", "") != expected.requestId)
        return fmt::format("shard {} has the body of request {}", shard, result.value("request_id", ""));
    if (result.value("body_digest", "") != expected.bodyDigest)
        return fmt::format("shard {} was sent another query body", shard);
    if (result.value("index_version", 0U) != answer.value("index_version", 0U))
        return fmt::format("shard {} answered from index version {}", shard,
                           result.value("index_version", 0U));
    return {};
}

std::string findResultFault(const nlohmann::json &answer, const std::set<std::string> &covered,
                            const ExpectedAnswer &expected)
{
    const auto &results = answer.at("results");
    if (results.size() != covered.size())
        return "the covered shards and the results differ";
    for (const auto &[shard, body] : results.items()) {
        if (covered.count(shard) == 0)
            return fmt::format("shard {} has a result but is not covered", shard);
        if (auto fault = findShardFault(answer, shard, body, expected); !fault.empty())
            return fault;
    }
    return {};
}

} // namespace

AnswerChecker::AnswerChecker(std::vector<Configuration::Document> documents)
    : documents_(std::move(documents))
{
}

bool AnswerChecker::isShardSet(const Names &shards, const ExpectedAnswer &expected) const
{
    if (!expected.shard.empty())
        return shards == Names {expected.shard};
    return std::any_of(documents_.begin(), documents_.end(), [&](const Configuration::Document &document) {
        Names names;
        if (const auto *index = document.findIndex(expected.index)) {
            for (const auto &shard : index->shards)
                names.insert(shard.name);
        }
        return names == shards;
    });
}

std::string AnswerChecker::findFault(const nlohmann::json &answer, const ExpectedAnswer &expected) const
{
    try {
        if (answer.at("request_id") != expected.requestId)
            return "the answer belongs to request " + answer.at("request_id").get<std::string>();
        const auto covered = answer.at("covered").get<Names>();
        auto all = covered;
        for (const auto &missing : answer.at("lacking")) {
            if (!all.insert(missing.at("shard").get<std::string>()).second)
                return "a shard is both covered and missing, or missing twice";
        }
        if (covered.size() != answer.at("covered").size())
            return "a shard is covered twice";
        if (!isShardSet(all, expected))
            return "covered and missing shards are not the shards of the index";
        if (answer.at("complete") != answer.at("lacking").empty())
            return "complete does not agree with the missing shards";
        return findResultFault(answer, covered, expected);
    } catch (const nlohmann::json::exception &error) {
        return fmt::format("the answer is malformed: {}", error.what());
    }
}

std::string AnswerChecker::anyShard(const std::string &index, std::uint64_t number) const
{
    const auto *found = documents_.front().findIndex(index);
    return found == nullptr ? std::string() : found->shards[number % found->shards.size()].name;
}

} // namespace Load
