#pragma once

#include "LibConfiguration/Document.h"
#include "LibQuery/QueryCore.h"

#include <memory>
#include <string>
#include <vector>

/// Shape of a generated document with one index "books"; replica r of shard n is server "s<n><letter of r>".
struct DocumentShape
{
    std::uint64_t revision = 1;
    std::uint32_t shards = 3;
    std::uint32_t replicas = 2;
    std::uint32_t slots = 2;
    std::uint32_t maxQueries = 64;
    double budget = 0.02;
    Base::Duration deadline = Base::milliseconds(1000);
};

/// The document and directory of a test, and the observations of its servers.
class TestDocument
{
public:
    explicit TestDocument(const DocumentShape &shape);

    /// Installs document, directory and a long lease. Replicas a, b, … are owned by entries e1, e2, ….
    void install(Base::Instant now, Query::QueryCore &core) const;
    /// Reports a healthy observation of every server with these index versions.
    void observe(Base::Instant now, Query::QueryCore &core, const std::vector<std::uint64_t> &versions) const;
    /// Reports one observation under the server's owner.
    void observe(Base::Instant now, Query::QueryCore &core, const Wire::ServerObservation &observation) const;
    /// Returns the healthy observation of one server.
    Wire::ServerObservation healthy(const std::string &serverId,
                                    const std::vector<std::uint64_t> &versions) const;
    const std::vector<Wire::ShareRecord> &shares() const { return directory_.shares; }

private:
    DocumentShape shape_;
    std::shared_ptr<Configuration::Document> document_;
    Wire::Directory directory_;
};

/// Returns a query of index "books" by tenant "north".
Query::CallerQuery makeQuery(Query::CallerToken token, const std::string &trafficClass = "steady");
