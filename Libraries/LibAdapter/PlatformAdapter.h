#pragma once

#include "LibBase/Error.h"
#include "LibRoute/Configuration.h"
#include "LibWire/RegistryMessages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Adapter {

/// Names of the HTTP headers that the platform defines.
struct HeaderNames
{
    std::string_view requestId; ///< Id of one attempt of a caller; echoed by backend servers.
    std::string_view deadline; ///< Milliseconds that the sender will wait.
    std::string_view targetServer; ///< Id of the only server that may run the request.
    std::string_view serverProof; ///< Proof that a backend server made the response.
    std::string_view serverLoad; ///< Running, waiting, slots; comma-separated.
    std::string_view serverLeaving; ///< The backend server is about to leave.
    std::string_view notExecuted; ///< The backend server has not run the request.
    std::string_view partProofs; ///< Proofs of the parts in a gathered answer.
    std::string_view missingParts; ///< Number of shards missing from a gathered answer.
    std::string_view callerKey; ///< Key of the caller's tenant; never passed on.
    std::string_view tenant; ///< Name of the tenant, set by this system only.
    std::string_view serverWarmUp; ///< How much longer the server stays cold, in milliseconds.
};

/// Load as reported by a backend server.
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double slowdown = 1.0; ///< Current service time on its VM, relative to normal.
};

/// One page of the platform's server list.
struct ServerPage
{
    std::vector<Wire::ServerRecord> servers;
    std::size_t unreadable = 0; ///< Number of malformed entries that were skipped.
    std::string firstUnreadable; ///< First bytes of the first of them, for the log.
    std::string nextPage; ///< Token of the next page; empty on the last.
};

/// Operations of the product's own HTTP interfaces.
enum class Call : std::uint8_t {
    Unknown,
    LookUpGateways,
    CheckReadiness,
    ReplaceConfiguration,
    ReadConfiguration,
    BeginEvacuation,
    EndEvacuation
};

/// Translates between the product and the protocols of its platform. Stateless.
class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;

    virtual const HeaderNames &headers() const = 0;
    virtual Call classify(std::string_view method, std::string_view path) const = 0;

    /// Decodes and validates; the error DocumentInvalid lists all errors found. With `previous`, what has not
    /// changed since then need not be decoded again; `text` must then have been accepted before.
    virtual Base::Result<Route::Configuration>
    decodeConfiguration(std::string_view text, const Route::Configuration *previous) const = 0;

    virtual std::optional<ServerLoad> decodeServerLoad(std::string_view text) const = 0;

    /// Whether this value of the header `serverLeaving` says that the server is about to leave.
    virtual bool announcesLeaving(std::string_view value) const = 0;

    /// How long a server that turns a request away with `Retry-After: value` wants none; empty for a value
    /// that states no time above 0.
    virtual std::optional<Base::Duration> decodePause(std::string_view value) const = 0;

    /// Request target for one page of the server list; `page` is empty for the first.
    virtual std::string serverListTarget(std::string_view page) const = 0;
    virtual Base::Result<ServerPage> decodeServerPage(std::string_view text) const = 0;

    /// Response body with the gateways that a caller may use, and for how long.
    virtual std::string encodeGateways(std::span<const std::string> callerAddresses,
                                       Base::Duration maxAge) const = 0;

    /// Data centre that a path of BeginEvacuation or EndEvacuation names; empty if it names none that can be:
    /// none at all, a long one, or one with other characters than names have.
    virtual std::string evacuatedDataCentre(std::string_view path) const = 0;

    /// How much longer a server stays cold, from the header `serverWarmUp`; empty for other values.
    virtual std::optional<Base::Duration> decodeWarmUp(std::string_view value) const = 0;

    /// Data centre of the caller of a look-up, from the query string; empty if not given.
    virtual std::string callerDataCentre(std::string_view query) const = 0;
};

} // namespace Adapter
