#pragma once

#include "LibAdapter/PlatformAdapter.h"

namespace Services {

/// A platform with short header names and nothing else.
class FakeAdapter : public Adapter::PlatformAdapter
{
public:
    const Adapter::HeaderNames &headers() const override { return names_; }
    Adapter::Call classify(std::string_view, std::string_view) const override
    {
        return Adapter::Call::Unknown;
    }
    Base::Result<Route::Configuration> decodeConfiguration(std::string_view,
                                                           const Route::Configuration *) const override
    {
        return Base::fail(Base::ErrorKind::InvalidRequest);
    }
    std::optional<Adapter::ServerLoad> decodeServerLoad(std::string_view) const override { return {}; }
    bool announcesLeaving(std::string_view) const override { return false; }
    std::optional<Base::Duration> decodePause(std::string_view) const override { return {}; }
    std::string serverListTarget(std::string_view) const override { return {}; }
    Base::Result<Adapter::ServerPage> decodeServerPage(std::string_view) const override
    {
        return Adapter::ServerPage {};
    }
    std::string encodeGateways(std::span<const std::string>, Base::Duration) const override { return {}; }
    std::string evacuatedDataCentre(std::string_view) const override { return {}; }
    std::optional<Base::Duration> decodeWarmUp(std::string_view) const override { return {}; }
    std::string callerDataCentre(std::string_view) const override { return {}; }

private:
    Adapter::HeaderNames names_ {.requestId = "Id",
                                 .deadline = "Deadline",
                                 .targetServer = "Target",
                                 .serverProof = "Proof",
                                 .serverLoad = "Load",
                                 .serverLeaving = "Leaving",
                                 .notExecuted = "Not-Run",
                                 .partProofs = "Proofs",
                                 .missingParts = "Missing",
                                 .callerKey = "Key",
                                 .tenant = "Tenant",
                                 .serverWarmUp = "Warm-Up"};
};

} // namespace Services
