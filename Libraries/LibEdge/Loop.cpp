#include "LibEdge/Loop.h"

#include "LibBase/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <list>

namespace Edge {

namespace {

constexpr Base::Log Log("loop");

sigset_t signalSet(std::initializer_list<int> signals)
{
    sigset_t set {};
    sigemptyset(&set);
    for (const int signal : signals)
        sigaddset(&set, signal);
    return set;
}

/// Runs `task`. An exception ends what the task was doing and nothing else.
template<typename Task>
void runContained(const Task &task)
{
    try {
        task();
    } catch (const std::exception &exception) {
        Log.error("An event handler failed; the loop goes on.", {{"reason", exception.what()}});
    }
}

} // namespace

namespace asio = boost::asio;

class Loop::Implementation
{
public:
    Implementation()
        : context_(1)
        , work_(asio::make_work_guard(context_))
        , wakeUp_(context_)
        , signals_(context_)
    {
    }

    void startRepeat(asio::steady_timer &timer, Base::Duration interval, std::function<void()> task)
    {
        timer.expires_after(interval);
        timer.async_wait([this, &timer, interval, task = std::move(task)](const auto &error) mutable {
            if (error)
                return;
            runContained(task);
            startRepeat(timer, interval, std::move(task));
        });
    }

    void waitForSignal()
    {
        signals_.async_wait([this](const auto &error, int signal) {
            if (error)
                return;
            runContained([&] { signalTask_(signal); });
            waitForSignal();
        });
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::steady_timer wakeUp_;
    asio::signal_set signals_;
    std::function<void(int)> signalTask_;
    std::list<asio::steady_timer> repeats_;
};

Loop::Loop()
    : implementation_(std::make_unique<Implementation>())
{
}

Loop::~Loop() = default;

void Loop::run()
{
    auto &context = implementation_->context_;
    // An exception leaves run(); the context stays usable and the other events are still due.
    while (!context.stopped())
        runContained([&context] { context.run(); });
}

void Loop::runFor(Base::Duration limit)
{
    implementation_->context_.restart();
    implementation_->context_.run_one_for(limit);
    implementation_->context_.poll();
}

void Loop::stop()
{
    implementation_->context_.stop();
}

void Loop::post(std::function<void()> task)
{
    asio::post(implementation_->context_, std::move(task));
}

void Loop::repeat(Base::Duration interval, std::function<void()> task)
{
    auto &timer = implementation_->repeats_.emplace_back(implementation_->context_);
    implementation_->startRepeat(timer, interval, std::move(task));
}

void Loop::setWakeUp(Base::Duration delay, std::function<void()> task)
{
    implementation_->wakeUp_.expires_after(delay);
    implementation_->wakeUp_.async_wait([task = std::move(task)](const auto &error) {
        if (!error)
            task();
    });
}

void Loop::clearWakeUp()
{
    implementation_->wakeUp_.cancel();
}

void Loop::holdSignals(std::initializer_list<int> signals)
{
    const auto set = signalSet(signals);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void Loop::onSignals(std::initializer_list<int> signals, std::function<void(int)> task)
{
    for (const int signal : signals)
        implementation_->signals_.add(signal);
    implementation_->signalTask_ = std::move(task);
    implementation_->waitForSignal();
    const auto set = signalSet(signals);
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

boost::asio::io_context &Loop::context()
{
    return implementation_->context_;
}

} // namespace Edge
