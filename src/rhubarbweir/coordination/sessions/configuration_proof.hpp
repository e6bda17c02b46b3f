// Proves to a pooler that its configuration is recent enough to trust the API keys in it.
//
// Answers the load of revocations: a key that was taken away has to stop working within a fixed
// time on every pooler, also on one that is cut off from control or was frozen. An answer of the
// leader names the newest committed version. A pooler that holds this version or a later one knows
// that no newer one was acknowledged before it sent the renewal that was answered.
#pragma once

#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace rhubarbweir {

class ConfigurationProof
{
public:
    // `revokeWithin`: time from the acknowledgement of a version to its effect everywhere; empty if
    // the configuration needs no proof.
    explicit ConfigurationProof(std::optional<Duration> revokeWithin);

    // The leader answered a renewal that was sent at `sentAt`, and its newest version is `version`.
    void answered(std::uint64_t version, TimePoint sentAt);
    // The pooler now applies this version.
    void applied(std::uint64_t version);

    // Whether the keys in the configuration may be trusted.
    bool isValid(TimePoint now) const { return now < this->validUntil; }
    // Whether a key that is not in the configuration may be denied: no newer version is known, and
    // an answer is so recent that a newer one would have arrived from a control in contact.
    bool mayDeny(TimePoint now) const { return this->answers.empty() && now < this->denyUntil; }

private:
    void useAnswers();

    std::optional<Duration> validFor;
    std::uint64_t heldVersion = 0;
    // When the latest renewal was sent whose answer named the version; only versions that are newer
    // than `heldVersion`, at most MaxAnswers.
    std::map<std::uint64_t, TimePoint> answers;
    // Neither moves back. `denyUntil` is the earlier one.
    TimePoint validUntil;
    TimePoint denyUntil;
};

} // namespace rhubarbweir
