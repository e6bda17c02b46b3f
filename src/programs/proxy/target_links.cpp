// See target_links.hpp.
#include "programs/proxy/target_links.hpp"

#include "rhubarbweir/transport/event_loop.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

// Timeout for connecting to a database.
constexpr std::chrono::milliseconds ConnectTimeout{1000};

} // namespace

TargetLinks::TargetLinks(EventLoop &eventLoop, TargetLinksHooks linkHooks)
    : loop(eventLoop)
    , hooks(std::move(linkHooks))
    , client(eventLoop)
{
}

void TargetLinks::open(Generation generation, const std::string &address,
                       const OpenConnection &message)
{
    this->links[generation] = Link{};
    this->client.connect(address, Subprotocol::Target, EventLoop::now() + ConnectTimeout,
                         [this, generation, message](absl::StatusOr<ConnectionPtr> result) {
                             if (result.ok())
                                 this->connected(generation, *result, message);
                             else
                                 this->connectionEnded(generation);
                         });
}

void TargetLinks::send(Generation generation, const TargetRequest &message)
{
    const auto found = this->links.find(generation);
    if (found == this->links.end() || !found->second.connection)
        return;
    std::visit([&found](const auto &body) { found->second.connection->send(body); }, message);
}

void TargetLinks::close(Generation generation)
{
    const auto found = this->links.find(generation);
    if (found == this->links.end())
        return;
    found->second.abandoned = true;
    if (found->second.connection)
        found->second.connection->close(CloseReason::Normal);
}

void TargetLinks::connected(Generation generation, const ConnectionPtr &connection,
                            const OpenConnection &message)
{
    Link &link = this->links[generation];
    link.connection = connection;
    connection->onMessage = [this, generation](const Message &incoming) {
        this->handleMessage(generation, incoming);
    };
    connection->onClosed = [this, generation] {
        this->connectionEnded(generation);
    };
    if (link.abandoned)
        connection->close(CloseReason::Normal);
    else
        connection->send(message);
}

void TargetLinks::handleMessage(Generation generation, const Message &message)
{
    Link &link = this->links[generation];
    if (const auto *opened = std::get_if<ConnectionOpened>(&message)) {
        link.opened = true;
        this->hooks.opened(generation, *opened);
    } else if (std::holds_alternative<ConnectionRefused>(message)) {
        const ConnectionPtr connection = link.connection;
        this->links.erase(generation);
        connection->onClosed = nullptr;
        connection->close(CloseReason::Normal);
        this->hooks.refused(generation, OpenFailure::RefusedByTarget);
    } else if (const auto *reply = std::get_if<StatementReply>(&message)) {
        this->hooks.message(generation, *reply);
    } else if (const auto *status = std::get_if<TargetStatus>(&message)) {
        this->hooks.message(generation, *status);
    } else {
        link.connection->close(CloseReason::UnexpectedMessage);
    }
}

void TargetLinks::connectionEnded(Generation generation)
{
    const auto found = this->links.find(generation);
    if (found == this->links.end())
        return;
    const bool wasOpen = found->second.opened;
    this->links.erase(found);
    // Posted because the failure may be reported from inside a call of the node.
    this->loop.post([this, generation, wasOpen] {
        if (wasOpen)
            this->hooks.closed(generation);
        else
            this->hooks.refused(generation, OpenFailure::Unreachable);
    });
}

} // namespace rhubarbweir
