// See target_probes.hpp.
#include "programs/fleet/target_probes.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>
#include <vector>

namespace rhubarbweir {

namespace {

// A target that is only slow answers a status query within the time of a few statements.
constexpr std::chrono::milliseconds ProbeTimeout{400};
// Targets limit their connections, so an idle one is closed after this.
constexpr std::chrono::seconds IdleTimeout{3};

} // namespace

TargetProbes::TargetProbes(EventLoop &eventLoop, std::string selfName, Answered answeredHook)
    : loop(eventLoop)
    , self(std::move(selfName))
    , answered(std::move(answeredHook))
{
    this->loop.every(IdleTimeout, [this] { this->closeIdle(); });
}

std::shared_ptr<TargetProbes::Link> TargetProbes::openLink(const RegisteredTarget &target)
{
    std::shared_ptr<Link> &link = this->links[target.target];
    if (!link || link->target.born != target.born || link->target.address != target.address) {
        if (link && link->stream)
            link->stream->abort();
        link = std::make_shared<Link>();
        link->target = target;
        this->connect(link);
    }
    link->usedAt = EventLoop::now();
    return link;
}

void TargetProbes::probe(const RegisteredTarget &target)
{
    const std::shared_ptr<Link> link = this->openLink(target);
    if (link->isProbing)
        return;
    link->isProbing = true;
    link->probeNumber = ++this->lastProbe;
    if (link->stream)
        send(*link, Command::Status, platform::encodeStatusQuery());
    this->loop.schedule(EventLoop::now() + ProbeTimeout, [this, link, number = link->probeNumber] {
        if (link->isProbing && link->probeNumber == number)
            this->fail(link);
    });
}

void TargetProbes::stepDown(const RegisteredTarget &target, std::uint64_t term)
{
    const std::shared_ptr<Link> link = this->openLink(target);
    if (link->stream)
        send(*link, Command::StepDown, platform::encodeStepDown(term));
    else
        link->stepDownTerm = term;
}

void TargetProbes::send(Link &link, Command command, const std::string &bytes)
{
    link.awaited.push_back(command);
    link.stream->send(bytes);
}

void TargetProbes::connect(const std::shared_ptr<Link> &link)
{
    connectStream(
        this->loop, link->target.address, EventLoop::now() + ProbeTimeout,
        [this, link](absl::StatusOr<ByteStreamPtr> result) {
            if (!result.ok()) {
                this->fail(link);
                return;
            }
            link->stream = *result;
            link->stream->onBytes = [this, link](std::string_view bytes) {
                this->received(link, bytes);
            };
            link->stream->onClosed = [this, link](bool) {
                this->fail(link);
            };
            send(*link, Command::Start,
                 platform::encodeTargetStart(link->target.group, this->self, link->target.target));
            if (link->stepDownTerm)
                send(*link, Command::StepDown, platform::encodeStepDown(*link->stepDownTerm));
            if (link->isProbing)
                send(*link, Command::Status, platform::encodeStatusQuery());
        });
}

void TargetProbes::received(const std::shared_ptr<Link> &link, std::string_view bytes)
{
    using Result = platform::AnswerAssembler::Result;
    link->reader.append(bytes);
    while (const auto line = link->reader.next()) {
        const Result result = link->assembler.add(*line);
        if (result == Result::Malformed) {
            this->fail(link);
            return;
        }
        if (result == Result::Incomplete)
            continue;
        const StatementAnswer answer = link->assembler.take();
        if (link->awaited.empty()) {
            this->fail(link);
            return;
        }
        const Command command = link->awaited.front();
        link->awaited.pop_front();
        if (command != Command::Status)
            continue;
        const auto row = platform::parseStatusRow(answer.rows);
        // A target that is too busy for a status is alive; the next probe asks again.
        if (row)
            this->finish(link, TargetProbe{row->isPrimary, row->term, row->received});
        else
            link->isProbing = false;
    }
    if (link->reader.isOverlong())
        this->fail(link);
    else if (link->stream)
        link->stream->holdInput(link->reader.size() + link->assembler.size());
}

void TargetProbes::finish(const std::shared_ptr<Link> &link,
                          const std::optional<TargetProbe> &result)
{
    if (!std::exchange(link->isProbing, false))
        return;
    this->answered(link->target, result);
}

void TargetProbes::fail(const std::shared_ptr<Link> &link)
{
    if (link->stream)
        link->stream->abort();
    const auto found = this->links.find(link->target.target);
    if (found != this->links.end() && found->second == link)
        this->links.erase(found);
    this->finish(link, std::nullopt);
}

void TargetProbes::closeIdle()
{
    const TimePoint now = EventLoop::now();
    for (auto entry = this->links.begin(); entry != this->links.end();) {
        const std::shared_ptr<Link> &link = entry->second;
        if (link->isProbing || now < link->usedAt + IdleTimeout) {
            ++entry;
            continue;
        }
        if (link->stream)
            link->stream->abort();
        entry = this->links.erase(entry);
    }
}

} // namespace rhubarbweir
