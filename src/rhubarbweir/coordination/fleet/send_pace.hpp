// Spreads large messages over time so that they do not fill a network link.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace rhubarbweir {

class SendPace
{
public:
    // `bytesPerSecond` of 0 sets no limit.
    explicit SendPace(std::uint64_t bytesPerSecond)
        : rate(bytesPerSecond)
    {
    }

    // Whether a message of the size may be sent now, which it then has to be.
    bool take(std::size_t bytes, TimePoint now)
    {
        if (this->rate == 0)
            return true;
        // The link may be busy with earlier messages for this long.
        constexpr std::chrono::milliseconds burst{50};
        if (this->busyUntil > now + burst)
            return false;
        const double seconds = static_cast<double>(bytes) / static_cast<double>(this->rate);
        this->busyUntil =
            std::max(this->busyUntil, now)
            + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        return true;
    }

private:
    std::uint64_t rate;
    TimePoint busyUntil;
};

} // namespace rhubarbweir
