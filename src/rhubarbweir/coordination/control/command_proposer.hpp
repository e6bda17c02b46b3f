// Proposes commands to the quorum log and remembers which are still under way, so that a
// decision is not proposed twice while the first proposal may still be committed.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <map>
#include <string>
#include <tuple>

namespace rhubarbweir {

enum class ProposalTopic {
    Leadership,
    Member,
    // Term, phase and primary of a group.
    Group,
    Grants,
};

// What a proposal is about; at most one is under way for each subject.
struct ProposalSubject
{
    ProposalTopic topic = ProposalTopic::Leadership;
    // Name of the group or target.
    std::string name;

    friend bool operator<(const ProposalSubject &a, const ProposalSubject &b)
    {
        return std::tie(a.topic, a.name) < std::tie(b.topic, b.name);
    }
};

class CommandProposer
{
public:
    CommandProposer(const ControlSettings &controlSettings, const QuorumPort &quorumPort,
                    const StateCodec &stateCodec);

    // Starts counting log time from `logTime`, that of the state.
    void beginOffice(LogTime logTime, TimePoint now);
    void endOffice();

    // Errors: those of QuorumPort::propose.
    absl::StatusOr<std::uint64_t> propose(CommandBody body, TimePoint now);
    // Does nothing while a proposal for `subject` is under way. Returns whether it proposed.
    bool proposeOnce(const ProposalSubject &subject, CommandBody body, TimePoint now);
    // Everything up to `index` was applied or replaced.
    void applied(std::uint64_t index);

private:
    struct UnderWay
    {
        std::uint64_t index = 0;
        // When it may be proposed again.
        TimePoint deadline;
    };

    const ControlSettings &settings;
    const QuorumPort &quorum;
    const StateCodec &codec;
    LogTime officeLogTime;
    TimePoint officeStart;
    std::map<ProposalSubject, UnderWay> underWay;
};

} // namespace rhubarbweir
