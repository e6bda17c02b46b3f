// See target_probes.hpp.
#include "programs/fleet/target_probes.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>
#include <vector>

namespace rhubarbweir {

namespace {

// A target that is merely slow answers a status within a few of its statements.
constexpr std::chrono::milliseconds ProbeTimeout{400};
// Connections of targets are scarce: an unused one is closed after this.
constexpr std::chrono::seconds UnusedAfter{3};

} // namespace

TargetProbes::TargetProbes(EventLoop &eventLoop, std::string selfName, Answered answeredHook)
    : loop(eventLoop)
    , self(std::move(selfName))
    , answered(std::move(answeredHook))
{
    this->loop.every(UnusedAfter, [this] { this->closeUnused(); });
}

std::shared_ptr<TargetProbes::Link> TargetProbes::linkTo(const RegisteredTarget &target)
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
    const std::shared_ptr<Link> link = this->linkTo(target);
    if (link->isAsking)
        return;
    link->isAsking = true;
    link->probeNumber = ++this->lastProbe;
    if (link->stream)
        link->stream->send(platform::encodeStatusQuery());
    this->loop.schedule(EventLoop::now() + ProbeTimeout, [this, link, number = link->probeNumber] {
        if (link->isAsking && link->probeNumber == number)
            this->fail(link);
    });
}

void TargetProbes::stepDown(const RegisteredTarget &target, std::uint64_t term)
{
    const std::shared_ptr<Link> link = this->linkTo(target);
    if (!link->stream || link->isAsking)
        return;
    ++link->toSkip;
    link->stream->send(platform::encodeStepDown(term));
}

void TargetProbes::connect(const std::shared_ptr<Link> &link)
{
    connectStream(this->loop, link->target.address, EventLoop::now() + ProbeTimeout,
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
                      link->stream->send(platform::encodeTargetStart(link->target.group, this->self,
                                                                     link->target.target));
                      if (link->isAsking)
                          link->stream->send(platform::encodeStatusQuery());
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
        if (link->toSkip > 0) {
            --link->toSkip;
            continue;
        }
        const auto row = platform::parseStatusRow(answer.rows);
        // A target too busy for a status is alive all the same; it is asked again.
        if (row)
            this->finish(link, TargetProbe{row->isPrimary, row->term, row->received});
        else
            link->isAsking = false;
    }
}

void TargetProbes::finish(const std::shared_ptr<Link> &link,
                          const std::optional<TargetProbe> &result)
{
    if (!std::exchange(link->isAsking, false))
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

void TargetProbes::closeUnused()
{
    const TimePoint now = EventLoop::now();
    for (auto entry = this->links.begin(); entry != this->links.end();) {
        const std::shared_ptr<Link> &link = entry->second;
        if (link->isAsking || now < link->usedAt + UnusedAfter) {
            ++entry;
            continue;
        }
        if (link->stream)
            link->stream->abort();
        entry = this->links.erase(entry);
    }
}

} // namespace rhubarbweir
