// Probes targets for their role and log position. The connection to each target is kept open until
// it has been idle for a while.
#pragma once

#include "platform/text_protocol.hpp"
#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"
#include "rhubarbweir/transport/byte_stream.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rhubarbweir {

class EventLoop;

class TargetProbes
{
public:
    // The probe is empty if the target did not answer in time.
    using Answered =
        std::function<void(const RegisteredTarget &, const std::optional<TargetProbe> &)>;

    TargetProbes(EventLoop &loop, std::string self, Answered answered);

    // Does nothing while a probe of the same target is running.
    void probe(const RegisteredTarget &target);
    // Tells the target to step down if it leads a term before `term`. Best effort.
    void stepDown(const RegisteredTarget &target, std::uint64_t term);

private:
    enum class Command {
        Start,
        Status,
        StepDown,
    };

    struct Link
    {
        RegisteredTarget target;
        ByteStreamPtr stream;
        platform::LineReader reader;
        platform::AnswerAssembler assembler;
        // What was sent and is not yet answered. Answers arrive in the order of sending.
        std::deque<Command> awaited;
        // Sent once the connection is established.
        std::optional<std::uint64_t> stepDownTerm;
        bool isProbing = false;
        std::uint64_t probeNumber = 0;
        TimePoint usedAt;
    };

    std::shared_ptr<Link> openLink(const RegisteredTarget &target);
    static void send(Link &link, Command command, const std::string &bytes);
    void connect(const std::shared_ptr<Link> &link);
    void received(const std::shared_ptr<Link> &link, std::string_view bytes);
    void finish(const std::shared_ptr<Link> &link, const std::optional<TargetProbe> &result);
    void fail(const std::shared_ptr<Link> &link);
    void closeIdle();

    EventLoop &loop;
    std::string self;
    Answered answered;
    std::map<TargetId, std::shared_ptr<Link>> links;
    std::uint64_t lastProbe = 0;
};

} // namespace rhubarbweir
