// Decides when a leader that leaves reports of tokens unanswered counts as silent.
//
// Without tokens a pooler refuses operations, so where teams have limits a lost leader has to be
// noticed within about the time of an election. A leader that is only slow must not lose all its
// poolers: the limit follows the usual time of an answer, differs between poolers, and grows after
// a false alarm. Without reports of tokens no leader counts as silent here.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <cstddef>
#include <string>

namespace rhubarbweir {

class LeaderMonitor
{
public:
    // A report was sent to the leader. `jitter`, from 0 to 1, spreads the alarms of the `poolers`
    // of the fleet.
    void reportSent(std::size_t poolers, double jitter, TimePoint now);
    // A message of the instance arrived, which leads.
    void heard(const std::string &leader, TimePoint now);
    // Reports so far will not be answered: the connection has ended, or the instance does not lead.
    void reportsEnded();
    // Whether to give up the connection to the leader. To be called at silentAt().
    bool isSilent(const std::string &leader, TimePoint now);
    // When the leader counts as silent; max() if no answer is awaited.
    TimePoint silentAt() const { return this->alarmAt; }

private:
    Duration limit(TimePoint now) const;

    // The oldest report that is not answered; only valid while an alarm is set.
    TimePoint sentAt;
    TimePoint alarmAt = TimePoint::max();
    // Smoothed time of an answer.
    Duration usualTime{0};
    // The leader that last counted as silent, until a leader has been heard of.
    std::string suspect;
    // Consecutive false alarms, and until when they count.
    unsigned falseAlarms = 0;
    TimePoint falseAlarmsUntil;
};

} // namespace rhubarbweir
