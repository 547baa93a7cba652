#include "LoadGenerator/AnswerChecker.h"

#include <functional>
#include <gtest/gtest.h>

namespace {

using nlohmann::json;

Load::AnswerChecker makeChecker()
{
    Configuration::Document document;
    Configuration::Index index;
    index.name = "stock";
    index.shards = {{"0", {"a"}}, {"1", {"b"}}};
    document.indexes = {index};
    return Load::AnswerChecker({document});
}

const Load::ExpectedAnswer Expected {"r1", "stock", "digest", ""};

json shardBody()
{
    return {{"shard", "0"},
            {"index", "stock"},
            {"request_id", "r1"},
            {"body_digest", "digest"},
            {"index_version", 4}};
}

json partialAnswer(const json &body)
{
    return {{"request_id", "r1"},
            {"index_version", 4},
            {"complete", false},
            {"covered", {"0"}},
            {"lacking", {{{"shard", "1"}, {"error", "shard_unavailable"}, {"run", "no"}}}},
            {"results", {{"0", body.dump()}}}};
}

} // namespace

// A checker that accepts false answers would make every run that uses it worthless.
TEST(AnswerChecker, FindsEveryKindOfFalseAnswer)
{
    const auto checker = makeChecker();
    EXPECT_EQ(checker.findFault(partialAnswer(shardBody()), Expected), "");
    for (const auto *field : {"shard", "index", "request_id", "body_digest"}) {
        auto body = shardBody();
        body[field] = "other";
        EXPECT_NE(checker.findFault(partialAnswer(body), Expected), "") << field;
    }
    auto otherVersion = shardBody();
    otherVersion["index_version"] = 5;
    EXPECT_NE(checker.findFault(partialAnswer(otherVersion), Expected), "");

    const std::vector<std::pair<std::string, json>> changes {
        {"request_id", "r2"},        {"complete", true},
        {"covered", {"0", "1"}},     {"covered", {"0", "0"}},
        {"covered", json::array()},  {"lacking", json::array()},
        {"results", json::object()}, {"lacking", {{{"shard", "0"}}, {{"shard", "1"}}}},
        {"covered", nullptr}};
    for (const auto &[field, value] : changes) {
        auto answer = partialAnswer(shardBody());
        answer[field] = value;
        EXPECT_NE(checker.findFault(answer, Expected), "") << field << " " << value.dump();
    }
}
