#pragma once

#include "LibConfiguration/DocumentParser.h"
#include "Services/Entry/LeaderClient.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Services {

/// Documents by hash, fetched from control and parsed once. Used on the decision thread only.
class DocumentCache
{
public:
    explicit DocumentCache(LeaderClient &control)
        : control_(control)
    {
    }

    /// Returns the parsed document, or null while it is not here.
    std::shared_ptr<const Configuration::ParseOutcome> find(const std::string &hash) const;

    /// Fetches a document unless it is here or on its way; runs `arrived` when it is here.
    void fetch(const std::string &hash, std::function<void()> arrived);

    /// Drops all documents but these.
    void keepOnly(const std::set<std::string> &hashes);

private:
    void store(const std::string &hash, const Base::Result<Base::Bytes> &reply);

    LeaderClient &control_;
    std::map<std::string, std::shared_ptr<const Configuration::ParseOutcome>> documents_;
    std::set<std::string> fetching_;
};

} // namespace Services
