#include "Services/Entry/EntryProcess.h"

#include "LibBase/Incarnation.h"
#include "LibBase/Log.h"
#include "Services/Common/RequestMemory.h"

namespace Services {

namespace {

constexpr Base::Log Log("entry");

/// Limit on the body of a query.
constexpr std::size_t MaxQueryBytes = std::size_t {1} << 20U;

/// Time for replies that are still on their way to peers at the end.
constexpr Base::Duration PeerShutdownTimeout = Base::seconds(2);

Wire::EntryRecord makeRecord(const EntrySettings &settings)
{
    Wire::EntryRecord record;
    record.entryId = settings.entryId;
    record.incarnation = Base::makeIncarnation();
    record.dataCentre = settings.dataCentre;
    return record;
}

} // namespace

EntryProcess::EntryProcess()
    : context_ {std::make_shared<EventQueue>(), std::make_shared<LeaseGuard>(),
                std::make_shared<Metrics::Registry>(), std::make_shared<DirectoryView>()}
    , peerApi_(context_.events)
    , callerApi_(context_)
{
}

Base::Result<std::unique_ptr<EntryProcess>> EntryProcess::start(const EntrySettings &settings)
{
    if (settings.controlAddresses.empty())
        return Base::fail(Base::ErrorKind::SettingInvalid, "no control address is given");
    std::unique_ptr<EntryProcess> process(new EntryProcess);
    if (auto opened = process->open(settings); !opened)
        return tl::unexpected(opened.error());
    return process;
}

Base::Result<void> EntryProcess::open(const EntrySettings &settings)
{
    if (settings.memoryMegabytes > 0)
        returnFreedMemory();
    auto endpoint = Peer::Endpoint::create({settings.peerAddress, settings.sharedSecret,
                                            [this](Wire::Method method, const Base::Bytes &payload,
                                                   const std::shared_ptr<Peer::Responder> &responder) {
                                                peerApi_.handle(method, payload, responder);
                                            }});
    if (!endpoint)
        return tl::unexpected(endpoint.error());
    endpoint_ = std::move(*endpoint);

    Http::ServerOptions options;
    options.listenAddress = settings.httpAddress;
    options.threads = settings.callerThreads;
    options.maxBodyBytes = MaxQueryBytes;
    if (settings.memoryMegabytes > 0)
        options.maxBodiesBytes = requestMemory(settings.memoryMegabytes);
    options.handler = [this](const Http::Request &request) { return callerApi_.handle(request); };
    auto server = Http::Server::create(std::move(options));
    if (!server)
        return tl::unexpected(server.error());
    server_ = std::move(*server);

    auto record = makeRecord(settings);
    record.callerAddress = httpAddress();
    record.peerAddress = peerAddress();
    loop_ = std::make_unique<EntryLoop>(settings, std::move(record), context_, *endpoint_);
    peerApi_.setLoop(loop_.get());
    callerApi_.setLoop(loop_.get());
    decisionThread_ = std::thread([this] { loop_->run(); });
    Log.info("Entry process started.",
             {{"entry", settings.entryId}, {"http", httpAddress()}, {"peer", peerAddress()}});
    return {};
}

void EntryProcess::beginShutdown()
{
    context_.events->post([this] { loop_->beginShutdown(); });
}

void EntryProcess::waitUntilStopped()
{
    if (decisionThread_.joinable())
        decisionThread_.join();
    context_.events->close();
    if (server_)
        server_->shutDown();
    if (endpoint_)
        endpoint_->shutDown(PeerShutdownTimeout);
}

EntryProcess::~EntryProcess()
{
    waitUntilStopped();
}

} // namespace Services
