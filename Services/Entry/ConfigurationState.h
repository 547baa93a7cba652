#pragma once

#include "LibWire/LeaseMessages.h"
#include "Services/Entry/DocumentCache.h"

#include <memory>
#include <string>

namespace Services {

/// Stages proposed revisions and adopts accepted ones; the revision in force never goes back. Used on the
/// decision thread only.
class ConfigurationState
{
public:
    /// `changed` runs after a document was staged, rejected or adopted outside update().
    ConfigurationState(DocumentCache &documents, std::string environment, std::function<void()> changed);

    /// Takes the newest directory; a lower directory version is ignored. Returns true when it was newer.
    bool update(Wire::Directory directory);

    /// Tries again what could not be fetched before; called with every renewal.
    void advance();

    /// True when the accepted revision of the directory is in force here.
    bool isCaughtUp() const { return revision_ == directory_.accepted.revision; }

    /// Fills the fields of a renewal that tell what this process holds.
    void describe(Wire::RenewLeaseRequest &request) const;

    /// The document in force, or null before the first.
    const std::shared_ptr<const Configuration::Document> &document() const { return document_; }
    std::uint64_t revision() const { return revision_; }
    std::uint64_t stagedRevision() const { return staged_; }
    const Wire::Directory &directory() const { return directory_; }

private:
    void stage();
    void adopt();
    void fetch(const std::string &hash);
    std::string rejection(const Configuration::ParseOutcome &outcome) const;

    DocumentCache &documents_;
    std::string environment_;
    std::function<void()> changed_;
    Wire::Directory directory_;
    std::shared_ptr<const Configuration::Document> document_;
    std::uint64_t revision_ = 0;
    std::uint64_t staged_ = 0;
    std::uint64_t rejected_ = 0;
    std::string rejectionDetail_;
};

} // namespace Services
