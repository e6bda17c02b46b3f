// Tests of the operators' configuration table as replicated through the control log.
#include "rhubarbweir/protocol/state_codec.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace rhubarbweir;

namespace {

LogTime at(std::int64_t seconds)
{
    return LogTime(std::chrono::seconds(seconds));
}

RowChange change(const std::string &name, std::string_view field, const std::string &value,
                 std::uint64_t version = 0, RowScope scope = RowScope::Group)
{
    return {RowKey{scope, name, std::string(field)}, version, value, false};
}

RowChange removal(const std::string &name, std::string_view field, std::uint64_t version)
{
    RowChange result = change(name, field, "", version);
    result.remove = true;
    return result;
}

EditResult edit(ReplicatedState &state, std::uint64_t index, const std::string &requestId,
                std::vector<RowChange> changes, LogTime time = at(1))
{
    return *state.apply(index, {time, EditTable{requestId, "anna", std::move(changes)}}).edit;
}

std::string valueOf(const ReplicatedState &state, const std::string &name, std::string_view field)
{
    const auto &rows = state.table().rows();
    const auto found = rows.find(RowKey{RowScope::Group, name, std::string(field)});
    return found == rows.end() ? "" : found->second.value;
}

ReplicatedState restored(const ReplicatedState &state)
{
    ReplicatedState copy;
    copy.restore(*decodeSnapshot(encodeSnapshot(state.snapshot())));
    return copy;
}

} // namespace

Test(table, reports_all_problems,
     .description = "an invalid edit reports every problem and changes nothing")
{
    ReplicatedState state;
    edit(state, 1, "a", {change("g", SizeField, "3")});
    const EditResult result =
        edit(state, 2, "b",
             {change("g", SlotsField, "4"), change("g", ConnectionsField, "many"),
              change("g", QueueLimitField, "0"), change("g", "colour", "red"),
              change("h", SlotsField, "2"), change("t", WeightField, "5", 0, RowScope::Target),
              change("g", SlotsField, "5")});
    cr_assert(result.outcome == EditOutcome::Invalid);
    std::vector<RowFault> faults;
    for (const RowProblem &problem : result.problems)
        faults.push_back(problem.fault);
    const std::vector<RowFault> expected = {RowFault::NotANumber,   RowFault::OutOfRange,
                                            RowFault::UnknownField, RowFault::UnknownName,
                                            RowFault::UnknownName,  RowFault::DuplicateChange};
    cr_assert(faults == expected);
    cr_assert(valueOf(state, "g", SlotsField).empty());
    cr_assert(state.revision() == 1);
}

Test(table, limits_and_totals,
     .description = "more slots than connections and too many databases are refused")
{
    ReplicatedState state;
    edit(state, 1, "a", {change("g", SizeField, "3")});
    const EditResult limits = edit(state, 2, "b", {change("g", SlotsField, "46")});
    cr_assert(limits.problems.size() == 1);
    cr_assert(limits.problems[0].fault == RowFault::SumTooLarge);
    std::vector<RowChange> groups;
    for (int group = 0; group < 2000; ++group)
        groups.push_back(change("g" + std::to_string(group + 1), SizeField, "9"));
    const EditResult sizes = edit(state, 3, "c", groups);
    cr_assert(sizes.outcome == EditOutcome::Invalid);
    cr_assert(sizes.problems[0].fault == RowFault::SumTooLarge);
}

Test(table, size_is_fixed, .description = "a group's size cannot change after its first term began")
{
    ReplicatedState state;
    state.apply(1,
                {at(1), RegisterMember{GroupId("g"), TargetId("t"), {"a", FailureDomainId("d")}}});
    cr_assert(edit(state, 2, "a", {change("g", SizeField, "5")}).outcome == EditOutcome::Accepted);
    state.apply(3, {at(1), BeginTerm{GroupId("g"), 0, 1, TargetId(), ""}});
    const EditResult result = edit(state, 4, "b", {change("g", SizeField, "3", 1)});
    cr_assert(result.outcome == EditOutcome::Invalid);
    cr_assert(state.sizeOf(GroupId("g")) == 5);
}

Test(table, resend_after_snapshot,
     .description =
         "one of two edits of a version wins; resends after a snapshot get the first result")
{
    ReplicatedState state;
    edit(state, 1, "init", {change("g", SizeField, "3"), change("g", SlotsField, "3")});
    const auto first = edit(state, 2, "anna-1", {change("g", SlotsField, "2", 1)});
    const auto second = edit(state, 3, "bert-1", {change("g", SlotsField, "4", 1)});
    cr_assert(first.outcome == EditOutcome::Accepted);
    cr_assert(second.outcome == EditOutcome::VersionConflict);
    cr_assert(second.conflicts.size() == 1 && second.conflicts[0].value == "2"
              && second.conflicts[0].version == 2);
    ReplicatedState next = restored(state);
    edit(next, 4, "carl-1", {change("g", SlotsField, "1", 2)});
    const auto again = edit(next, 5, "anna-1", {change("g", SlotsField, "2", 1)});
    cr_assert(again.outcome == EditOutcome::Accepted && again.revision == 2);
    const auto conflictAgain = edit(next, 6, "bert-1", {change("g", SlotsField, "4", 1)});
    cr_assert(conflictAgain.outcome == EditOutcome::VersionConflict);
    cr_assert(conflictAgain.conflicts[0].value == "2");
    cr_assert(valueOf(next, "g", SlotsField) == "1");
    cr_assert(next.revision() == 4);
}

Test(table, stored_results_are_bounded,
     .description = "stored edit results are limited in age and number")
{
    ReplicatedState state;
    edit(state, 1, "old", {change("g", SizeField, "3")}, at(0));
    edit(state, 2, "young", {change("g", SlotsField, "2")}, at(3599));
    cr_assert(edit(state, 3, "old", {change("g", SizeField, "3")}, at(3599)).revision == 1);
    cr_assert(edit(state, 4, "old", {change("g", SizeField, "3")}, at(3600)).outcome
              == EditOutcome::VersionConflict);
    for (std::uint64_t index = 5; index < 5 + 2 * MaxCompletedEdits; ++index)
        edit(state, index, "n" + std::to_string(index), {}, at(3600));
    cr_assert(state.table().completedEditCount() == MaxCompletedEdits);
}

Test(table, versions_are_never_reused,
     .description = "a row that is removed and added again continues its version count")
{
    ReplicatedState state;
    edit(state, 1, "a", {change("g", SizeField, "3"), change("g", SlotsField, "3")});
    edit(state, 2, "b", {removal("g", SlotsField, 1)});
    ReplicatedState next = restored(state);
    edit(next, 3, "c", {change("g", SlotsField, "2")});
    cr_assert(edit(next, 4, "d", {change("g", SlotsField, "1", 1)}).outcome
              == EditOutcome::VersionConflict);
    cr_assert(valueOf(next, "g", SlotsField) == "2");
}

namespace {

// Simulates operators who read the table, edit it and resend edits whose answers were lost, while
// several replicas apply the same log at different speeds or are restored from snapshots.
class ConcurrentEditSimulation
{
public:
    explicit ConcurrentEditSimulation(std::uint64_t seed)
        : random(seed)
    {
    }

    void run()
    {
        this->commitEdit({"init", {change("g", SizeField, "3"), change("g", SlotsField, "1")}});
        for (int step = 0; step < 60; ++step)
            this->step();
        for (ReplicatedState &replica : this->replicas)
            this->catchUp(replica, this->log.size());
        const std::string bytes = encodeSnapshot(this->replicas[0].snapshot());
        for (const ReplicatedState &replica : this->replicas)
            cr_assert(encodeSnapshot(replica.snapshot()) == bytes, "instances differ");
        this->checkVersions();
    }

private:
    struct PendingEdit
    {
        std::string requestId;
        std::vector<RowChange> changes;
    };

    std::size_t pick(std::size_t count) { return this->random() % count; }

    void step()
    {
        ReplicatedState &replica = this->replicas[this->pick(this->replicas.size())];
        if (this->pick(8) == 0)
            replica = restored(replica);
        this->catchUp(replica, this->applied[&replica] + this->pick(4));
        if (this->pick(3) == 0 && !this->sentEdits.empty()) {
            this->commitEdit(this->sentEdits[this->pick(this->sentEdits.size())]);
            return;
        }
        // Reads from a replica that may lag behind, like an operator's spreadsheet.
        const auto &rows = replica.table().rows();
        const auto row = rows.find(RowKey{RowScope::Group, "g", std::string(SlotsField)});
        const std::uint64_t version = row == rows.end() ? 0 : row->second.version;
        const std::string value = std::to_string(1 + this->pick(40));
        PendingEdit pending{"r" + std::to_string(this->sentEdits.size()),
                            {change("g", SlotsField, value, version)}};
        this->sentEdits.push_back(pending);
        this->commitEdit(pending);
    }

    void commitEdit(const PendingEdit &pending)
    {
        this->log.push_back(
            encodeCommand({at(0), EditTable{pending.requestId, "op", pending.changes}}));
        this->catchUp(this->reference, this->log.size());
    }

    void catchUp(ReplicatedState &replica, std::size_t end)
    {
        std::size_t &done = this->applied[&replica];
        for (; done < std::min(end, this->log.size()); ++done) {
            const Command command = *decodeCommand(this->log[done]);
            const EditResult result = *replica.apply(done + 1, command).edit;
            this->checkAnswer(std::get<EditTable>(command.body), result);
        }
    }

    // Every replica always gives the same answer for a request id.
    void checkAnswer(const EditTable &command, const EditResult &result)
    {
        const auto [first, isNew] = this->answers.try_emplace(command.requestId, result);
        cr_assert(first->second.outcome == result.outcome);
        cr_assert(first->second.revision == result.revision);
        if (isNew && result.outcome == EditOutcome::Accepted && command.requestId != "init")
            this->accepted.push_back(command.changes[0]);
    }

    // Edits are linearizable: each accepted edit is based on the version that the previous accepted
    // edit created.
    void checkVersions()
    {
        std::uint64_t version = 1;
        for (const RowChange &change : this->accepted)
            cr_assert(change.expectedVersion == version++);
        if (!this->accepted.empty())
            cr_assert(valueOf(this->replicas[0], "g", SlotsField) == this->accepted.back().value);
    }

    std::mt19937_64 random;
    std::vector<std::string> log;
    std::vector<PendingEdit> sentEdits;
    ReplicatedState reference;
    std::vector<ReplicatedState> replicas{3};
    std::map<const ReplicatedState *, std::size_t> applied;
    std::map<std::string, EditResult> answers;
    std::vector<RowChange> accepted;
};

} // namespace

Test(table, concurrent_edits,
     .description = "edits over 1,500 seeds are linearizable, and no resend reverts a later edit")
{
    for (std::uint64_t seed = 1; seed <= 1500; ++seed)
        ConcurrentEditSimulation(seed).run();
}

Test(state_codec, errors, .description = "malformed commands and snapshots return InvalidArgument")
{
    cr_assert(absl::IsInvalidArgument(decodeCommand("no CBOR").status()));
    cr_assert(absl::IsInvalidArgument(decodeSnapshot("").status()));
    Command command{at(5), HoldWrites{GroupId("g"), 2, TargetId("t"), "r", "why"}};
    const auto copy = decodeCommand(encodeCommand(command));
    cr_assert(copy.ok() && copy->time == command.time);
    cr_assert(std::get<HoldWrites>(copy->body).target == TargetId("t"));
}
