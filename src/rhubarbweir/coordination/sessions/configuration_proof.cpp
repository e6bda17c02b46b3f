// See configuration_proof.hpp.
#include "rhubarbweir/coordination/sessions/configuration_proof.hpp"

#include <algorithm>
#include <cstddef>

namespace rhubarbweir {

namespace {

// Part of the time that is left unused because clocks of instances drift apart.
constexpr int DriftDivisor = 100;
// A key is denied for this part of the time, 2 s of 5 s. New keys have to reach poolers in contact
// within 4 s, and renewals are sent every 0.5 s.
constexpr int DenyDivisor = 5;
constexpr int DenyParts = 2;
// Versions that are known but not held yet. Each belongs to a document on its way.
constexpr std::size_t MaxAnswers = 64;

} // namespace

ConfigurationProof::ConfigurationProof(std::optional<Duration> revokeWithin)
{
    if (revokeWithin)
        this->validFor = *revokeWithin - *revokeWithin / DriftDivisor;
    else
        this->validUntil = this->denyUntil = TimePoint::max();
}

void ConfigurationProof::answered(std::uint64_t version, TimePoint sentAt)
{
    if (!this->validFor)
        return;
    TimePoint &latest = this->answers.emplace(version, sentAt).first->second;
    latest = std::max(latest, sentAt);
    this->useAnswers();
    while (this->answers.size() > MaxAnswers)
        this->answers.erase(this->answers.begin());
}

void ConfigurationProof::applied(std::uint64_t version)
{
    this->heldVersion = std::max(this->heldVersion, version);
    if (this->validFor)
        this->useAnswers();
}

void ConfigurationProof::useAnswers()
{
    const auto end = this->answers.upper_bound(this->heldVersion);
    for (auto entry = this->answers.begin(); entry != end; ++entry) {
        this->validUntil = std::max(this->validUntil, entry->second + *this->validFor);
        this->denyUntil =
            std::max(this->denyUntil, entry->second + *this->validFor * DenyParts / DenyDivisor);
    }
    this->answers.erase(this->answers.begin(), end);
}

} // namespace rhubarbweir
