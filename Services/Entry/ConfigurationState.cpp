#include "Services/Entry/ConfigurationState.h"

#include "LibBase/Log.h"

#include <algorithm>
#include <fmt/format.h>

namespace Services {

namespace {

constexpr Base::Log Log("entry");

} // namespace

ConfigurationState::ConfigurationState(DocumentCache &documents, std::string environment,
                                       std::function<void()> changed)
    : documents_(documents)
    , environment_(std::move(environment))
    , changed_(std::move(changed))
{
}

bool ConfigurationState::update(Wire::Directory directory)
{
    if (directory.version < directory_.version || directory.accepted.revision < directory_.accepted.revision)
        return false;
    directory_ = std::move(directory);
    advance();
    documents_.keepOnly({directory_.accepted.documentHash, directory_.proposed.documentHash});
    return true;
}

void ConfigurationState::advance()
{
    adopt();
    stage();
}

void ConfigurationState::adopt()
{
    const auto &accepted = directory_.accepted;
    if (accepted.revision <= revision_)
        return;
    const auto outcome = documents_.find(accepted.documentHash);
    if (!outcome) {
        fetch(accepted.documentHash);
        return;
    }
    if (!outcome->document) {
        // Only possible with a build whose validation differs; the lease then runs out and queries are
        // refused.
        Log.error("The accepted document is not valid here.", {{"revision", accepted.revision}});
        return;
    }
    document_ = std::make_shared<const Configuration::Document>(*outcome->document);
    revision_ = accepted.revision;
    staged_ = std::max(staged_, revision_);
    Log.info("Revision is in force.", {{"revision", revision_}, {"hash", accepted.documentHash}});
}

void ConfigurationState::stage()
{
    const auto &proposed = directory_.proposed;
    if (proposed.revision <= std::max({staged_, rejected_, revision_}))
        return;
    const auto outcome = documents_.find(proposed.documentHash);
    if (!outcome) {
        fetch(proposed.documentHash);
        return;
    }
    rejectionDetail_ = rejection(*outcome);
    if (rejectionDetail_.empty())
        staged_ = proposed.revision;
    else
        rejected_ = proposed.revision;
    Log.info(
        rejectionDetail_.empty() ? "Revision is staged." : "Revision is rejected.",
        {{"revision", proposed.revision}, {"hash", proposed.documentHash}, {"reason", rejectionDetail_}});
}

void ConfigurationState::fetch(const std::string &hash)
{
    documents_.fetch(hash, [this] {
        advance();
        changed_();
    });
}

std::string ConfigurationState::rejection(const Configuration::ParseOutcome &outcome) const
{
    if (!outcome.document)
        return outcome.mistakes.empty() ? "not valid" : Configuration::describe(outcome.mistakes.front());
    if (outcome.document->environment != environment_)
        return fmt::format("document is for environment '{}', this process is in '{}'",
                           outcome.document->environment, environment_);
    return {};
}

void ConfigurationState::describe(Wire::RenewLeaseRequest &request) const
{
    request.stagedRevision = staged_;
    request.acceptedRevision = revision_;
    request.rejectedRevision = rejected_;
    request.rejectionDetail = rejectionDetail_;
    request.directoryVersion = directory_.version;
}

} // namespace Services
