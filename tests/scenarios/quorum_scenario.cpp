// See quorum_scenario.hpp.
#include "scenarios/quorum_scenario.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace rhubarbweir::testing {

namespace {

absl::Status met(bool isMet, const std::string &otherwise)
{
    return isMet ? absl::OkStatus() : absl::FailedPreconditionError(otherwise);
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
    } catch (const std::exception &broken) {
        return absl::InternalError(absl::StrCat("invariant broken: ", broken.what()));
    }
}

Verbs QuorumScenario::verbs()
{
    using Action = std::function<void(std::size_t)>;
    const auto onInstance = [this](Action action) -> Verb {
        return [this, action = std::move(action)](const Step &step) {
            action(this->instance(step.word(0)));
            return absl::OkStatus();
        };
    };
    Verbs verbs;
    verbs["control"] = [this](const Step &step) {
        return this->setUp(step);
    };
    verbs["name"] = [this](const Step &step) {
        this->names[step.value("as")] = this->instance(step.word(0));
        return absl::OkStatus();
    };
    verbs["commit"] = [this](const Step &step) {
        return this->commit(step);
    };
    verbs["crash"] = onInstance([this](std::size_t number) { this->cluster->crash(number); });
    verbs["start"] = onInstance([this](std::size_t number) { this->cluster->start(number); });
    verbs["wipe"] = onInstance([this](std::size_t number) { this->cluster->wipe(number); });
    verbs["isolate"] = onInstance([this](std::size_t number) { this->cluster->isolate(number); });
    verbs["propose"] = onInstance([this](std::size_t number) { this->cluster->propose(number); });
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
    return met(this->cluster->awaitLeader(), "no leader after the start");
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
    const std::string what = step.word(0);
    const QuorumCluster &nodes = *this->cluster;
    if (what == "leader")
        return met(nodes.leader().has_value(), "nobody leads with a lease");
    if (what == "no_leader")
        return met(!nodes.leader().has_value(), "somebody leads with a lease");
    if (what == "equal")
        return met(nodes.allEqual(), "instances applied different entries");
    if (what == "whole")
        return met(nodes.whole(), "a voter is lost");
    const QuorumNode &node = nodes.nodes[this->instance(step.word(1))];
    if (what == "no_lease")
        return met(!node.log || !node.log->leaseValid(nodes.local(node)), "it holds a lease");
    if (what == "not_voter") {
        for (const QuorumMember &voter : nodes.nodes[*nodes.leader()].log->membership().voters) {
            if (voter.peer.instance == node.peer.instance
                && voter.incarnation == node.lastIncarnation)
                return met(false, "it votes");
        }
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(absl::StrCat("unknown expectation ", what));
}

std::size_t QuorumScenario::instance(const std::string &word) const
{
    if (word == "leader")
        return this->cluster->leader().value_or(0);
    const auto named = this->names.find(word);
    return named != this->names.end() ? named->second : std::stoul(word);
}

} // namespace rhubarbweir::testing
