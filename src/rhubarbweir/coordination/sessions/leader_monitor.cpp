// See leader_monitor.hpp.
#include "rhubarbweir/coordination/sessions/leader_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rhubarbweir {

namespace {

// An election takes 200 to 350 ms from the loss, which comes before the report.
constexpr std::chrono::milliseconds MinLimit{300};
// As for a connection on which nothing is received.
constexpr std::chrono::milliseconds MaxLimit{1200};
// Answers that take this many times the usual time are still awaited.
constexpr int UsualTimes = 8;
// The alarms of a fleet spread over this much for each pooler, so that a leader that has stalled
// for a moment still answers most of them: with 300 poolers, 150 ms beside the 500 ms over which
// their renewals spread.
constexpr std::chrono::microseconds SpreadPerPooler{500};
// The weight of one answer in the smoothed time is one part in this many.
constexpr int Smoothing = 8;
// An alarm that comes later than this after its time was delayed by this process itself, which may
// have been suspended and then finds the answer unread.
constexpr std::chrono::milliseconds MaxDelay{100};
// A false alarm doubles the limit for this long.
constexpr std::chrono::seconds FalseAlarmTime{60};

} // namespace

Duration LeaderMonitor::limit(TimePoint now) const
{
    const unsigned doublings = now < this->falseAlarmsUntil ? std::min(this->falseAlarms, 4U) : 0;
    const Duration usual = std::max<Duration>(MinLimit, UsualTimes * this->usualTime);
    return std::min<Duration>(MaxLimit, usual * (1U << doublings));
}

void LeaderMonitor::reportSent(std::size_t poolers, double jitter, TimePoint now)
{
    if (this->alarmAt != TimePoint::max())
        return;
    const auto spread = static_cast<double>(Duration(SpreadPerPooler).count())
                        * static_cast<double>(poolers) * jitter;
    this->sentAt = now;
    this->alarmAt = now + this->limit(now) + Duration(static_cast<Duration::rep>(spread));
}

void LeaderMonitor::heard(const std::string &leader, TimePoint now)
{
    if (this->alarmAt != TimePoint::max()) {
        const auto took = std::chrono::duration_cast<Duration>(now - this->sentAt);
        this->usualTime += (took - this->usualTime) / Smoothing;
    }
    this->reportsEnded();
    if (this->suspect.empty())
        return;
    if (std::exchange(this->suspect, std::string()) != leader) {
        this->falseAlarms = 0;
        return;
    }
    this->falseAlarms = now < this->falseAlarmsUntil ? this->falseAlarms + 1 : 1;
    this->falseAlarmsUntil = now + FalseAlarmTime;
}

void LeaderMonitor::reportsEnded()
{
    this->alarmAt = TimePoint::max();
}

bool LeaderMonitor::isSilent(const std::string &leader, TimePoint now)
{
    if (now < this->alarmAt)
        return false;
    if (now >= this->alarmAt + MaxDelay) {
        this->alarmAt = now + MaxDelay;
        return false;
    }
    this->suspect = leader;
    return true;
}

} // namespace rhubarbweir
