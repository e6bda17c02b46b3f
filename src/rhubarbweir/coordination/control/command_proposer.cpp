// See command_proposer.hpp.
#include "rhubarbweir/coordination/control/command_proposer.hpp"

#include <utility>

namespace rhubarbweir {

CommandProposer::CommandProposer(const ControlSettings &controlSettings,
                                 const QuorumPort &quorumPort, const StateCodec &stateCodec)
    : settings(controlSettings)
    , quorum(quorumPort)
    , codec(stateCodec)
{
}

void CommandProposer::beginOffice(LogTime logTime, TimePoint now)
{
    this->initialLogTime = logTime;
    this->leadershipStart = now;
    this->inFlight.clear();
}

void CommandProposer::endLeadership()
{
    this->inFlight.clear();
}

absl::StatusOr<std::uint64_t> CommandProposer::propose(CommandBody body, TimePoint now)
{
    const auto elapsed = std::chrono::duration_cast<Duration>(now - this->leadershipStart);
    const Command command{this->initialLogTime + elapsed, std::move(body)};
    return this->quorum.propose(this->codec.encodeCommand(command), now);
}

bool CommandProposer::proposeOnce(const ProposalSubject &subject, CommandBody body, TimePoint now)
{
    const auto found = this->inFlight.find(subject);
    if (found != this->inFlight.end() && now < found->second.deadline)
        return false;
    const auto index = this->propose(std::move(body), now);
    if (!index.ok())
        return false;
    this->inFlight[subject] = {*index, now + this->settings.proposalPatience};
    return true;
}

void CommandProposer::applied(std::uint64_t index)
{
    for (auto entry = this->inFlight.begin(); entry != this->inFlight.end();) {
        if (entry->second.index <= index)
            entry = this->inFlight.erase(entry);
        else
            ++entry;
    }
}

} // namespace rhubarbweir
