#pragma once

#include "LibBase/Time.h"
#include "LibWire/RegistryMessages.h"

#include <cstdint>
#include <optional>

namespace Registry {

/// Decides which share of callers a gateway takes, from how busy it is. No I/O, no clock of its own.
///
/// Load patterns: VMs of different speed in one class; half of the callers of a data centre move at once; a
/// VM turns slow. The list for callers names such a gateway like any other, so it queues while others idle.
///
/// The share follows a falling line of the smoothed figure, so that a gateway that is hotter than another one
/// has the lower share, also when all are hot. Callers act on a change only when their list ends (5 s, for
/// some 15 s), and they leave a gateway at the first list without it but come back only with new connections.
/// So what a step does shows seconds later and is large. Therefore steps are bounded, a rise takes longer
/// than a fall, and a figure in the dead band below the line changes hardly anything.
class CallerShare
{
public:
    /// Up to here the share need not fall.
    static constexpr double HotFrom = 0.5;
    /// From here the share is the lowest one.
    static constexpr double HottestFrom = 0.9;
    /// Some callers stay, because without them nobody would see that the gateway has cooled down.
    static constexpr double LowestShare = 0.25;
    /// The figure must be this much below the line for the share to rise as fast as it may.
    static constexpr double DeadBand = 0.3;
    /// Largest changes in a second.
    static constexpr double FallPerSecond = 0.05;
    static constexpr double RisePerSecond = 0.01;
    /// In the dead band, while the figure is not hot: a share that has been lowered by a load that is over
    /// must become full again, although the figure does not tell that from a load that the lower share keeps
    /// away.
    static constexpr double CreepPerSecond = 0.002;
    /// Within this time a fall towards the line would end if it went on at the speed of its beginning.
    static constexpr Base::Duration FallTime = Base::seconds(8);
    /// Time constant of the smoothing of figures.
    static constexpr Base::Duration SmoothingTime = Base::seconds(4);
    /// Without a figure for this long the gateway counts as one of its class: its share rises to a full one.
    static constexpr Base::Duration FigureTimeout = Base::seconds(5);

    /// A change by half or more since the last one, in sixteenths.
    struct LargeChange
    {
        std::uint8_t from = Wire::FullCallerShare;
        std::uint8_t to = Wire::FullCallerShare;
    };

    /// Takes a figure from 0 to 1, or nothing if there is none now. Called at least once a second.
    void update(Base::Instant now, std::optional<double> busy);

    /// The share to report, in sixteenths, from 1 to Wire::FullCallerShare.
    std::uint8_t sixteenths() const { return reported_; }
    /// Smoothed figure from 0 to 1; 0 while there is none.
    double busy() const { return busy_; }

    /// Returns a large change once.
    std::optional<LargeChange> takeLargeChange();

private:
    double changePerSecond() const;
    void report();

    double share_ = 1.0;
    double busy_ =
        0.0; ///< A gateway that starts does much that callers have no part in, so this begins at 0.
    std::optional<Base::Instant> updatedAt_;
    std::optional<Base::Instant> figureAt_;
    std::uint8_t reported_ = Wire::FullCallerShare;
    std::uint8_t lastTaken_ = Wire::FullCallerShare; ///< By takeLargeChange().
};

} // namespace Registry
