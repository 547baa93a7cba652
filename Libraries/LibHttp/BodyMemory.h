#pragma once

#include <atomic>
#include <cstddef>

namespace Http {

/// Bytes of the bodies that all threads of a server hold, kept under a limit. Thread-safe.
/// Load pattern: as many callers as there are threads send large bodies and stop before their end.
class BodyMemory
{
public:
    explicit BodyMemory(std::size_t limitBytes)
        : limitBytes_(limitBytes)
    {
    }

    /// What one request holds; returned when it goes.
    class Charge
    {
    public:
        explicit Charge(BodyMemory &memory)
            : memory_(memory)
        {
        }
        ~Charge() { memory_.heldBytes_ -= bytes_; }
        Charge(const Charge &) = delete;
        Charge &operator=(const Charge &) = delete;

        /// Returns false, and changes nothing, when there is no room for this size.
        bool growTo(std::size_t bytes)
        {
            if (bytes <= bytes_)
                return true;
            const auto growth = bytes - bytes_;
            if (memory_.heldBytes_.fetch_add(growth) + growth > memory_.limitBytes_) {
                memory_.heldBytes_ -= growth;
                return false;
            }
            bytes_ = bytes;
            return true;
        }

    private:
        BodyMemory &memory_;
        std::size_t bytes_ = 0;
    };

private:
    std::size_t limitBytes_;
    std::atomic<std::size_t> heldBytes_ {0};
};

} // namespace Http
