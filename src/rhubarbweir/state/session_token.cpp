// See session_token.hpp.
#include "rhubarbweir/state/session_token.hpp"

namespace rhubarbweir {

LogPosition SessionToken::required(const GroupId &group) const
{
    const auto found = this->seen.find(group);
    return found == this->seen.end() ? LogPosition{} : found->second;
}

void SessionToken::observe(const GroupId &group, const LogPosition &position)
{
    LogPosition &current = this->seen[group];
    if (current < position)
        current = position;
}

} // namespace rhubarbweir
