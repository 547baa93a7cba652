#include "LibConfiguration/DocumentDiff.h"

#include <gtest/gtest.h>

namespace {

Configuration::Document sampleDocument()
{
    Configuration::Document document;
    document.environment = "test";
    document.classes.push_back({"desk", Configuration::CompletionPolicy::Coverage, Base::seconds(1)});
    document.tenants.push_back({"shops", 4});
    Configuration::Index index;
    index.name = "stock";
    index.shards = {{"00", {"a", "b"}}, {"01", {"a"}}};
    index.servers = {{"a", "127.0.0.1:1", "one"}, {"b", "127.0.0.1:2", "two"}};
    document.indexes.push_back(index);
    return document;
}

} // namespace

// A change that the diff does not mention would be promoted unseen.
TEST(DocumentDiff, NamesEveryKindOfChange)
{
    const auto before = sampleDocument();
    auto after = before;
    after.addressMaxAge = Base::seconds(2);
    after.classes[0].deadline = Base::milliseconds(1500);
    after.tenants = {{"members", 2}};
    auto &index = after.indexes[0];
    index.slotsPerServer = 3;
    index.servers = {{"a", "127.0.0.1:1", "one", true}, {"c", "127.0.0.1:3", "two"}};
    index.shards = {{"00", {"a", "c"}}, {"02", {"c"}}};
    const std::vector<std::string> expected {
        "Document: the maximum age of entry addresses changes from 5 s to 2 s.",
        "Class desk: the deadline changes from 1 s to 1.5 s.",
        "Tenant shops is removed; its queries are refused.",
        "Tenant members is added with weight 2.",
        "Index stock: the number of slots per server changes from 1 to 3.",
        "Index stock: server b is removed.",
        "Index stock, server a: it starts leaving and gets no new work.",
        "Index stock: server c is added at 127.0.0.1:3 in data centre two.",
        "Index stock: shard 01 is removed.",
        "Index stock, shard 00: replica b is removed.",
        "Index stock, shard 00: replica c is added.",
        "Index stock: shard 02 is added with 1 server.",
    };
    EXPECT_EQ(Configuration::describeChanges(before, after), expected);
}

// Equal documents must not look like a change, or operators would stop reading diffs.
TEST(DocumentDiff, SaysNothingAboutEqualDocuments)
{
    EXPECT_TRUE(Configuration::describeChanges(sampleDocument(), sampleDocument()).empty());
}
