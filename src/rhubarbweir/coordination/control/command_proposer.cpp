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
    this->officeLogTime = logTime;
    this->officeStart = now;
    this->underWay.clear();
}

void CommandProposer::endOffice()
{
    this->underWay.clear();
}

absl::StatusOr<std::uint64_t> CommandProposer::propose(CommandBody body, TimePoint now)
{
    const auto inOffice = std::chrono::duration_cast<Duration>(now - this->officeStart);
    const Command command{this->officeLogTime + inOffice, std::move(body)};
    return this->quorum.propose(this->codec.encodeCommand(command), now);
}

bool CommandProposer::proposeOnce(const ProposalSubject &subject, CommandBody body, TimePoint now)
{
    const auto found = this->underWay.find(subject);
    if (found != this->underWay.end() && now < found->second.deadline)
        return false;
    const auto index = this->propose(std::move(body), now);
    if (!index.ok())
        return false;
    this->underWay[subject] = {*index, now + this->settings.proposalPatience};
    return true;
}

void CommandProposer::applied(std::uint64_t index)
{
    for (auto entry = this->underWay.begin(); entry != this->underWay.end();) {
        if (entry->second.index <= index)
            entry = this->underWay.erase(entry);
        else
            ++entry;
    }
}

} // namespace rhubarbweir
