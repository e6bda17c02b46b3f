// See quorum_scenario.hpp.
#include "scenarios/quorum_scenario.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace rhubarbweir::testing {

namespace {

absl::Status require(bool condition, const std::string &failure)
{
    return condition ? absl::OkStatus() : absl::FailedPreconditionError(failure);
}

} // namespace

absl::Status QuorumScenario::run(const std::string &file)
{
    try {
        return runScenarioFile(
            file,
            [this](Duration at) {
                if (this->cluster)
                    this->cluster->runUntil(this->start + at, [] { return false; });
            },
            this->verbs());
    } catch (const std::exception &violation) {
        return absl::InternalError(absl::StrCat("invariant violated: ", violation.what()));
    }
}

Verbs QuorumScenario::verbs()
{
    using Action = std::function<void(std::size_t)>;
    const auto instanceVerb = [this](Action action) -> Verb {
        return [this, action = std::move(action)](const Step &step) {
            action(this->resolveInstance(step.word(0)));
            return absl::OkStatus();
        };
    };
    Verbs verbs;
    verbs["control"] = [this](const Step &step) {
        return this->setUp(step);
    };
    verbs["name"] = [this](const Step &step) {
        this->aliases[step.value("as")] = this->resolveInstance(step.word(0));
        return absl::OkStatus();
    };
    verbs["commit"] = [this](const Step &step) {
        return this->commit(step);
    };
    verbs["crash"] = instanceVerb([this](std::size_t number) { this->cluster->crash(number); });
    verbs["start"] = instanceVerb([this](std::size_t number) { this->cluster->start(number); });
    verbs["wipe"] = instanceVerb([this](std::size_t number) { this->cluster->wipe(number); });
    verbs["isolate"] = instanceVerb([this](std::size_t number) { this->cluster->isolate(number); });
    verbs["propose"] = instanceVerb([this](std::size_t number) { this->cluster->propose(number); });
    verbs["heal"] = [this](const Step &) {
        this->cluster->healLinks();
        return absl::OkStatus();
    };
    verbs["expect"] = [this](const Step &step) {
        return this->expect(step);
    };
    return verbs;
}

absl::Status QuorumScenario::setUp(const Step &step)
{
    this->cluster =
        std::make_unique<QuorumCluster>(static_cast<std::uint64_t>(step.number("seed", 1)),
                                        static_cast<std::size_t>(step.number("voters", 3)),
                                        static_cast<std::size_t>(step.number("spares", 0)));
    this->cluster->startAll();
    this->start = this->cluster->time;
    return require(this->cluster->awaitLeader(), "no leader was elected after the start");
}

absl::Status QuorumScenario::commit(const Step &step)
{
    for (std::int64_t count = 0; count < step.number("times", 1); ++count) {
        if (!this->cluster->commitOne())
            return absl::UnavailableError(absl::StrCat("entry ", count, " was not committed"));
    }
    return absl::OkStatus();
}

absl::Status QuorumScenario::expect(const Step &step) const
{
    const std::string expectation = step.word(0);
    const QuorumCluster &nodes = *this->cluster;
    if (expectation == "leader")
        return require(nodes.leader().has_value(), "no instance leads with a valid lease");
    if (expectation == "no_leader")
        return require(!nodes.leader().has_value(), "an instance leads with a valid lease");
    if (expectation == "replicas_agree")
        return require(nodes.replicasAgree(), "instances applied different entries");
    if (expectation == "all_voters_present")
        return require(nodes.whole(), "a voter is missing or a lost incarnation");
    const QuorumNode &node = nodes.nodes[this->resolveInstance(step.word(1))];
    if (expectation == "no_lease")
        return require(!node.log || !node.log->leaseValid(nodes.local(node)),
                       "the instance holds a lease");
    if (expectation == "not_voter") {
        for (const QuorumMember &voter : nodes.nodes[*nodes.leader()].log->membership().voters) {
            if (voter.peer.instance == node.peer.instance
                && voter.incarnation == node.lastIncarnation)
                return require(false, "the instance is a voter");
        }
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(absl::StrCat("unknown expectation ", expectation));
}

std::size_t QuorumScenario::resolveInstance(const std::string &word) const
{
    if (word == "leader")
        return this->cluster->leader().value_or(0);
    const auto alias = this->aliases.find(word);
    return alias != this->aliases.end() ? alias->second : std::stoul(word);
}

} // namespace rhubarbweir::testing
