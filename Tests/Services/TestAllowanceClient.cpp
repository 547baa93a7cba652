#include "LibAllowance/AllowanceDivider.h"
#include "LibAllowance/AllowanceKey.h"
#include "Services/Gateway/AllowanceClient.h"

#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <unistd.h>

namespace {

using Kind = Allowance::Taking::Kind;

/// A registry that leads, or names another one that does.
class FakeRegistry
{
public:
    explicit FakeRegistry(double unitsPerSecond)
    {
        const auto now = clock_.now();
        divider_.begin(now - Base::seconds(1000), 1);
        divider_.setTerms(now - Base::seconds(1000),
                          {{Allowance::tenantKey("a"), {unitsPerSecond, 3.0, 0.0, Base::seconds(2)}}});
        Peer::EndpointOptions options;
        options.listenAddress = "127.0.0.1:0";
        options.sharedSecret = "secret";
        options.handler = [this](Wire::Method method, const Base::Bytes &payload,
                                 const std::shared_ptr<Peer::Responder> &responder) {
            const std::lock_guard lock(mutex_);
            ++calls_;
            const auto request = Wire::decode<Wire::TakeAllowanceRequest>(payload);
            if (method != Wire::Method::TakeAllowance || !request)
                return responder->fail({Base::ErrorKind::InvalidRequest, "unexpected"});
            if (!otherLeader_.empty())
                return responder->reply(Wire::encode(Wire::TakeAllowanceReply {{}, otherLeader_}));
            const auto reply = divider_.take(clock_.now(), *request);
            responder->reply(Wire::encode(*reply));
        };
        endpoint_ = std::move(*Peer::Endpoint::create(std::move(options)));
    }
    ~FakeRegistry() { endpoint_->shutDown(Base::milliseconds(100)); }

    std::string address() const { return endpoint_->listenAddress(); }
    int calls() const { return calls_; }
    void redirectTo(const std::string &address)
    {
        const std::lock_guard lock(mutex_);
        otherLeader_ = address;
    }

private:
    Base::SystemClock clock_;
    std::mutex mutex_;
    Allowance::AllowanceDivider divider_;
    std::string otherLeader_;
    std::atomic<int> calls_ {0};
    std::unique_ptr<Peer::Endpoint> endpoint_;
};

class AllowanceClientTest : public testing::Test
{
protected:
    AllowanceClientTest()
        : events_("gateway", STDOUT_FILENO)
    {
        Peer::EndpointOptions options;
        options.listenAddress = "127.0.0.1:0";
        options.sharedSecret = "secret";
        options.handler = [](Wire::Method, const Base::Bytes &,
                             const std::shared_ptr<Peer::Responder> &responder) {
            responder->fail({Base::ErrorKind::InvalidRequest, {}});
        };
        endpoint_ = std::move(*Peer::Endpoint::create(std::move(options)));
        client_ = std::make_unique<Services::AllowanceClient>(loop_, *endpoint_, events_, metrics_, 1,
                                                              [this] { return anyRegistry_; });
        client_->setDecisionHandler([this](Allowance::WaiterId waiter, const Allowance::Taking &taking) {
            decisions_[waiter] = taking;
        });
    }
    ~AllowanceClientTest() override { endpoint_->shutDown(Base::milliseconds(100)); }

    /// Takes a unit and waits for the decision.
    Allowance::Taking take(Base::Duration patience = Base::seconds(5))
    {
        const auto now = clock_.now();
        auto taking = client_->take(now, Allowance::tenantKey("a"), now + patience);
        while (taking.kind == Kind::Waiting) {
            loop_.runFor(Base::milliseconds(5));
            if (const auto found = decisions_.find(taking.waiter); found != decisions_.end())
                return found->second;
        }
        return taking;
    }

    Base::SystemClock clock_;
    Edge::Loop loop_;
    Base::EventLog events_;
    Services::GatewayMetrics metrics_;
    std::string anyRegistry_;
    std::map<Allowance::WaiterId, Allowance::Taking> decisions_;
    std::unique_ptr<Services::AllowanceClient> client_;
    std::unique_ptr<Peer::Endpoint> endpoint_;
};

} // namespace

TEST_F(AllowanceClientTest, FetchesUnitsUntilTheLeaderHasNone)
{
    const FakeRegistry registry(0.01);
    client_->setLeader(registry.address());
    for (int count = 0; count < 3; ++count)
        EXPECT_EQ(take().kind, Kind::Granted);
    const auto denied = take();
    EXPECT_EQ(denied.kind, Kind::OverLimit);
    EXPECT_GT(denied.retryAfter, Base::seconds(5));
    const int calls = registry.calls();
    EXPECT_EQ(take().kind, Kind::OverLimit);
    loop_.runFor(Base::milliseconds(50));
    EXPECT_EQ(registry.calls(), calls);
}

// A gateway hears of a new leader later than the registries do.
TEST_F(AllowanceClientTest, FollowsTheRegistriesToTheLeader)
{
    const FakeRegistry leader(10);
    FakeRegistry former(10);
    former.redirectTo(leader.address());
    client_->setLeader(former.address());
    EXPECT_EQ(take().kind, Kind::Granted);
    EXPECT_EQ(former.calls(), 1);
    EXPECT_EQ(leader.calls(), 1);
}

// The address of a dead leader must not keep a gateway from asking the registry that it watches.
TEST_F(AllowanceClientTest, AsksAnotherRegistryWhenTheLeaderIsGone)
{
    const FakeRegistry leader(10);
    anyRegistry_ = leader.address();
    client_->setLeader("127.0.0.1:1");
    EXPECT_EQ(take().kind, Kind::Granted);
}

TEST_F(AllowanceClientTest, WithoutARegistryRequestsAreRefusedInTime)
{
    const auto before = clock_.now();
    EXPECT_EQ(take(Base::milliseconds(100)).kind, Kind::Unavailable);
    EXPECT_GE(clock_.now() - before, Base::milliseconds(100));
}

// Deployments without limits must not pay for them.
TEST_F(AllowanceClientTest, WithoutLimitsNothingIsSentOrHeld)
{
    const FakeRegistry registry(10);
    client_->setLeader(registry.address());
    client_->setGatewayCount(12);
    for (int count = 0; count < 10; ++count) {
        client_->maintain(clock_.now() + Base::seconds(count));
        loop_.runFor(Base::milliseconds(5));
    }
    EXPECT_EQ(registry.calls(), 0);
    EXPECT_EQ(client_->stock().keys(), 0U);
    EXPECT_EQ(metrics_.registry().prometheusText().find("allowance"), std::string::npos);
}
