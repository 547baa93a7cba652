#include "Services/Entry/DocumentCache.h"

#include "LibBase/Log.h"
#include "LibWire/LeaseMessages.h"

namespace Services {

namespace {

constexpr Base::Log Log("entry");
constexpr Base::Duration FetchTimeout = Base::seconds(2);

} // namespace

std::shared_ptr<const Configuration::ParseOutcome> DocumentCache::find(const std::string &hash) const
{
    const auto found = documents_.find(hash);
    return found == documents_.end() ? nullptr : found->second;
}

void DocumentCache::fetch(const std::string &hash, std::function<void()> arrived)
{
    if (documents_.contains(hash) || !fetching_.insert(hash).second)
        return;
    const auto done = [this, hash, arrived = std::move(arrived)](const Base::Result<Base::Bytes> &reply) {
        fetching_.erase(hash);
        store(hash, reply);
        if (documents_.contains(hash))
            arrived();
    };
    control_.call(Wire::Method::FetchDocument, Wire::encode(Wire::FetchDocumentRequest {hash}), FetchTimeout,
                  LeaderClient::Repeat::Always, done);
}

void DocumentCache::store(const std::string &hash, const Base::Result<Base::Bytes> &reply)
{
    const auto message = reply ? Wire::decode<Wire::FetchDocumentReply>(*reply)
                               : Base::Result<Wire::FetchDocumentReply>(tl::unexpect, reply.error());
    if (!message) {
        Log.warning("Could not fetch a document.", {{"hash", hash}, {"reason", message.error().detail}});
        return;
    }
    if (Configuration::documentHash(message->text) != hash) {
        Log.warning("The fetched document has another hash.", {{"hash", hash}});
        return;
    }
    documents_[hash] =
        std::make_shared<const Configuration::ParseOutcome>(Configuration::parseDocument(message->text));
}

void DocumentCache::keepOnly(const std::set<std::string> &hashes)
{
    std::erase_if(documents_, [&](const auto &item) { return !hashes.contains(item.first); });
}

} // namespace Services
