// Proposes commands to the quorum log and tracks those in flight, so that a decision is not
// proposed again while its first proposal may still be committed.
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

// Subject of a proposal. At most one proposal per subject is in flight.
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

    // Called when this instance starts to lead. Log time continues from `logTime`, the time of the
    // replicated state.
    void beginOffice(LogTime logTime, TimePoint now);
    void endLeadership();

    // Errors: those of QuorumPort::propose.
    absl::StatusOr<std::uint64_t> propose(CommandBody body, TimePoint now);
    // Proposes unless a proposal for `subject` is in flight. Returns whether it proposed.
    bool proposeOnce(const ProposalSubject &subject, CommandBody body, TimePoint now);
    // All entries up to `index` were either applied here or replaced by another leader's.
    void applied(std::uint64_t index);

private:
    struct InFlightProposal
    {
        std::uint64_t index = 0;
        // When the command may be proposed again.
        TimePoint deadline;
    };

    const ControlSettings &settings;
    const QuorumPort &quorum;
    const StateCodec &codec;
    LogTime initialLogTime;
    TimePoint leadershipStart;
    std::map<ProposalSubject, InFlightProposal> inFlight;
};

} // namespace rhubarbweir
