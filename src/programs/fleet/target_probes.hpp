// Asks targets for their role and log position, over one connection each that is kept for a while.
#pragma once

#include "platform/text_protocol.hpp"
#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"
#include "rhubarbweir/transport/byte_stream.hpp"

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
    // The answer is empty when the target did not give one in time.
    using Answered =
        std::function<void(const RegisteredTarget &, const std::optional<TargetProbe> &)>;

    TargetProbes(EventLoop &loop, std::string self, Answered answered);

    // Joins a probe of the same target that is on its way.
    void probe(const RegisteredTarget &target);
    // Best effort.
    void stepDown(const RegisteredTarget &target, std::uint64_t term);

private:
    struct Link
    {
        RegisteredTarget target;
        ByteStreamPtr stream;
        platform::LineReader reader;
        platform::AnswerAssembler assembler;
        // Answers that are not of the running probe, the greeting among them.
        unsigned toSkip = 1;
        bool isAsking = false;
        std::uint64_t probeNumber = 0;
        TimePoint usedAt;
    };

    std::shared_ptr<Link> linkTo(const RegisteredTarget &target);
    void connect(const std::shared_ptr<Link> &link);
    void received(const std::shared_ptr<Link> &link, std::string_view bytes);
    void finish(const std::shared_ptr<Link> &link, const std::optional<TargetProbe> &result);
    void fail(const std::shared_ptr<Link> &link);
    void closeUnused();

    EventLoop &loop;
    std::string self;
    Answered answered;
    std::map<TargetId, std::shared_ptr<Link>> links;
    std::uint64_t lastProbe = 0;
};

} // namespace rhubarbweir
