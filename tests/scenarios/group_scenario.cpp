// See group_scenario.hpp.
#include "scenarios/group_scenario.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir::testing {

namespace {

absl::Status require(bool condition, const std::string &failure)
{
    return condition ? absl::OkStatus() : absl::FailedPreconditionError(failure);
}

} // namespace

absl::Status GroupScenario::run(const std::string &file)
{
    return runScenarioFile(
        file,
        [this](Duration at) {
            if (this->group)
                this->group->simulation.runFor(std::chrono::duration_cast<Duration>(
                    this->start + at - this->group->simulation.now()));
        },
        this->verbs());
}

Verbs GroupScenario::verbs()
{
    const auto nodeVerb = [this](std::function<void(const std::string &)> action) -> Verb {
        return [this, action = std::move(action)](const Step &step) {
            action(this->resolveNode(step.word(0)));
            return absl::OkStatus();
        };
    };
    Verbs verbs;
    verbs["group"] = [this](const Step &step) {
        return this->setUp(step);
    };
    verbs["name"] = [this](const Step &step) {
        this->aliases[step.value("as")] = this->resolveNode(step.word(0));
        return absl::OkStatus();
    };
    verbs["kill"] = nodeVerb([this](const std::string &name) {
        const int index = this->group->indexOf(TargetId(name));
        if (index >= 0)
            this->group->stopTarget(static_cast<std::size_t>(index));
        else
            this->group->simulation.stop(name);
    });
    verbs["start"] =
        nodeVerb([this](const std::string &name) { this->group->simulation.start(name); });
    verbs["cut"] =
        nodeVerb([this](const std::string &name) { this->group->simulation.cutOff(name); });
    verbs["heal"] =
        nodeVerb([this](const std::string &name) { this->group->simulation.heal(name); });
    verbs["replace_leader"] = [this](const Step &) {
        this->group->controls.replaceLeader();
        return absl::OkStatus();
    };
    verbs["edit"] = [this](const Step &step) {
        return this->edit(step);
    };
    verbs["expect"] = [this](const Step &step) {
        return this->expect(step);
    };
    return verbs;
}

absl::Status GroupScenario::setUp(const Step &step)
{
    this->group =
        std::make_unique<fakes::FakeGroup>(static_cast<std::uint64_t>(step.number("seed", 1)));
    this->start = this->group->simulation.now();
    this->group->controls.toOperator = [this](fakes::FakeControls::Instance &, ConnectionId,
                                              const OperatorReply &reply) {
        if (const auto *result = std::get_if<TableEditResult>(&reply))
            this->editResults[result->requestId].push_back(*result);
    };
    return absl::OkStatus();
}

absl::Status GroupScenario::edit(const Step &step)
{
    fakes::FakeControls::Instance *leader = this->group->controls.leader();
    if (leader == nullptr)
        return absl::UnavailableError("there is no control leader");
    const RowKey key{RowScope::Group, "g", step.value("field", "queue_limit")};
    const RowChange change{key, static_cast<std::uint64_t>(step.number("version", 0)),
                           step.value("value"), false};
    leader->node->receiveFromOperator(1,
                                      TableEdit{step.word(0), step.value("by", "anna"), {change}},
                                      this->group->simulation.now());
    return absl::OkStatus();
}

absl::Status GroupScenario::expect(const Step &step)
{
    const std::string expectation = step.word(0);
    if (expectation == "steady")
        return require(this->group->isSteady(), "the group is not in phase steady");
    if (expectation == "edit")
        return this->expectEdit(step);
    if (expectation == "primary_is" || expectation == "primary_is_not") {
        const bool isPrimary =
            this->group->record()->primary.value == this->resolveNode(step.word(1));
        return require(isPrimary == (expectation == "primary_is"),
                       "the primary is " + this->group->record()->primary.value);
    }
    if (expectation == "term") {
        const std::uint64_t term = this->group->record()->term;
        return require(absl::StrCat(term) == step.word(1), absl::StrCat("the term is ", term));
    }
    if (expectation == "write_confirmed_within") {
        const Duration gap = std::chrono::duration_cast<Duration>(this->group->simulation.now()
                                                                  - this->group->lastConfirmed);
        return require(gap <= parseDuration(step.word(1)).value_or(Duration{0}),
                       absl::StrCat("no write was confirmed for ", gap.count(), " us"));
    }
    if (expectation == "confirmed_writes_kept") {
        const int primary = this->group->indexOf(this->group->record()->primary);
        if (primary < 0)
            return require(false, "there is no primary");
        const auto &log = this->group->targets[static_cast<std::size_t>(primary)].log;
        for (const auto &[write, term] : this->group->confirmed) {
            const auto copies =
                std::count_if(log.begin(), log.end(),
                              [id = write](const auto &entry) { return entry.write == id; });
            if (copies != 1)
                return require(false, absl::StrCat("confirmed write ", write,
                                                   " is in the primary's log ", copies, " times"));
        }
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(absl::StrCat("unknown expectation ", expectation));
}

absl::Status GroupScenario::expectEdit(const Step &step) const
{
    const auto found = this->editResults.find(step.word(1));
    if (found == this->editResults.end())
        return require(step.word(2) == "none", "the edit has no result");
    const TableEditResult &last = found->second.back();
    if (nameOf(last.outcome) != step.word(2))
        return require(false, std::string(nameOf(last.outcome)));
    const std::string other = step.value("same_revision_as");
    if (other.empty())
        return absl::OkStatus();
    const auto compared = this->editResults.find(other);
    return require(compared != this->editResults.end()
                       && compared->second.front().revision == last.revision,
                   "the revision differs from that of the other edit");
}

std::string GroupScenario::resolveNode(const std::string &word)
{
    const auto alias = this->aliases.find(word);
    if (alias != this->aliases.end())
        return alias->second;
    if (word == "primary" && this->group->record() != nullptr)
        return this->group->record()->primary.value;
    return word;
}

} // namespace rhubarbweir::testing
