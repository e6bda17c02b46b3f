// Tests of the proof that a pooler's configuration is recent enough to trust the keys in it.
#include "rhubarbweir/coordination/sessions/configuration_proof.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds RevokeWithin{5000};
// RevokeWithin less a hundredth.
constexpr milliseconds ValidFor{4950};
const TimePoint Start(std::chrono::seconds(1000));

} // namespace

Test(configuration_proof, counted_from_the_question,
     .description = "The proof counts from when the renewal was sent, less a margin for drift")
{
    ConfigurationProof proof(RevokeWithin);
    cr_assert(!proof.isValid(Start));
    proof.applied(3);
    cr_assert(!proof.isValid(Start));
    proof.answered(3, Start);
    cr_assert(proof.isValid(Start + ValidFor - milliseconds(1)));
    cr_assert(!proof.isValid(Start + ValidFor));
}

Test(configuration_proof, newer_version_unknown,
     .description = "An answer that names a newer version proves nothing until that is held")
{
    ConfigurationProof proof(RevokeWithin);
    proof.applied(3);
    proof.answered(4, Start);
    cr_assert(!proof.isValid(Start));
    proof.applied(3);
    cr_assert(!proof.isValid(Start));
    proof.applied(5);
    cr_assert(proof.isValid(Start + ValidFor - milliseconds(1)));
}

Test(configuration_proof, older_version_named,
     .description = "A pooler that was sent a newer version early is proven by an older answer")
{
    ConfigurationProof proof(RevokeWithin);
    proof.applied(4);
    proof.answered(3, Start);
    cr_assert(proof.isValid(Start));
}

Test(configuration_proof, disordered_answers,
     .description = "Answers and versions that arrive late or twice never shorten the proof")
{
    ConfigurationProof proof(RevokeWithin);
    proof.applied(4);
    proof.answered(4, Start + milliseconds(500));
    proof.answered(3, Start);
    proof.applied(2);
    proof.answered(4, Start + milliseconds(100));
    cr_assert(proof.isValid(Start + milliseconds(500) + ValidFor - milliseconds(1)));
    cr_assert(!proof.isValid(Start + milliseconds(500) + ValidFor));
}

// Guards against a bound that forgets the newest answers, which would leave a pooler without proof.
Test(configuration_proof, many_versions_on_their_way,
     .description = "Of many versions that are not held yet the newest answers are kept")
{
    ConfigurationProof proof(RevokeWithin);
    for (std::uint64_t version = 1; version <= 1000; ++version)
        proof.answered(version, Start + milliseconds(version));
    proof.applied(1000);
    cr_assert(proof.isValid(Start + ValidFor + milliseconds(999)));
}

Test(configuration_proof, not_needed,
     .description = "Without a time for revocations every configuration counts as recent")
{
    ConfigurationProof proof(std::nullopt);
    cr_assert(proof.isValid(Start));
    proof.answered(9, Start);
    proof.applied(1);
    cr_assert(proof.isValid(Start + std::chrono::hours(24)));
}
