// See codec.hpp.
#include "rhubarbweir/protocol/codec.hpp"

#include "rhubarbweir/protocol/internal/depth_check.hpp"
#include "rhubarbweir/protocol/internal/json_messages.hpp"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

#include <iterator>
#include <type_traits>
#include <utility>

namespace rhubarbweir {

namespace {

using nlohmann::json;

// Names on the wire, in the order of Message's alternatives.
constexpr std::string_view TypeNames[] = {
    "open_session",
    "session_opened",
    "move_session",
    "caller_request",
    "caller_answer",
    "peer_hello",
    "forward_request",
    "forward_answer",
    "end_transaction",
    "open_connection",
    "connection_opened",
    "connection_refused",
    "statement",
    "statement_reply",
    "status_probe",
    "target_status",
    "announcement",
    "fence_target",
    "target_fenced",
    "promote_target",
    "target_promoted",
    "follow_primary",
    "renew_lease",
    "lease_granted",
    "lease_refused",
    "view_changed",
    "table_edit",
    "table_edit_result",
    "table_query",
    "table_rows",
    "in_force_query",
    "in_force_report",
    "status_query",
    "status_report",
    "planned_change",
    "planned_change_result",
    "drain_instance",
    "drain_started",
    "replicate_entries",
    "replicate_answer",
    "observer_report",
    "quorum_bootstrap_query",
    "quorum_bootstrap_answer",
    "quorum_join",
    "quorum_vote_request",
    "quorum_vote_answer",
    "quorum_append",
    "quorum_append_answer",
    "quorum_snapshot_chunk",
    "quorum_snapshot_answer",
    "quorum_timeout_now",
    "fleet_lease",
    "fleet_redirect",
    "position_report",
    "quorum_join_redirect",
    "quorum_leave",
    "quorum_leave_answer",
    "relay_open",
    "relay_statement",
    "relay_answer",
    "relay_close",
    "relay_ended",
    "relay_ping",
    "token_request",
    "token_answer",
    "announcement_batch",
    "announcement_answers",
};
static_assert(std::size(TypeNames) == std::variant_size_v<Message>);

// Whether members with their default values are left out. Each pooler exchanges both messages with
// the leader twice a second, and most of their members are empty.
template<typename Body>
constexpr bool OmitsDefaults = std::is_same_v<Body, RenewLease> || std::is_same_v<Body, FleetLease>;

template<typename Body>
const json &defaultsOf()
{
    static const json defaults = Body{};
    return defaults;
}

// Removes the members of `body` that equal those of `defaults`, also within objects.
void omitDefaults(json &body, const json &defaults)
{
    for (auto member = body.begin(); member != body.end();) {
        const auto found = defaults.find(member.key());
        // An optional member that is present.
        if (found == defaults.end()) {
            ++member;
            continue;
        }
        const json &usual = *found;
        if (member->is_object() && usual.is_object())
            omitDefaults(*member, usual);
        const bool isUsual = *member == usual || (member->is_object() && member->empty());
        member = isUsual ? body.erase(member) : std::next(member);
    }
}

template<typename Body>
json toJson(const Body &body)
{
    json converted = body;
    if constexpr (std::is_same_v<Body, RenewLease>) {
        // A proxy holds no configuration document, and may renew with a control instance of an
        // earlier version, which requires every member.
        if (body.configurationVersion != 0)
            omitDefaults(converted, defaultsOf<Body>());
    } else if constexpr (OmitsDefaults<Body>) {
        omitDefaults(converted, defaultsOf<Body>());
    }
    return converted;
}

template<typename Body>
Body fromJson(const json &body)
{
    if constexpr (OmitsDefaults<Body>) {
        json complete = defaultsOf<Body>();
        complete.update(body, true);
        return complete.template get<Body>();
    } else {
        return body.get<Body>();
    }
}

template<std::size_t Index = 0>
Message decodeBody(std::size_t index, const json &body)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        if (index == Index)
            return fromJson<std::variant_alternative_t<Index, Message>>(body);
        return decodeBody<Index + 1>(index, body);
    } else {
        throw std::out_of_range("message type index out of range");
    }
}

absl::StatusOr<std::size_t> typeIndex(const std::string &name)
{
    for (std::size_t index = 0; index < std::size(TypeNames); ++index) {
        if (TypeNames[index] == name)
            return index;
    }
    return absl::UnimplementedError(absl::StrCat("unknown message type ", name));
}

json parse(std::string_view bytes, Encoding encoding)
{
    return encoding == Encoding::Cbor ? json::from_cbor(bytes) : json::parse(bytes);
}

} // namespace

std::string encode(const Message &message, Encoding encoding)
{
    json envelope;
    envelope["v"] = WireVersion;
    envelope["t"] = std::string(typeName(message));
    std::visit([&envelope](const auto &body) { envelope["b"] = toJson(body); }, message);
    if (encoding == Encoding::Json)
        return envelope.dump(-1, ' ', false, json::error_handler_t::replace);
    std::string bytes;
    json::to_cbor(envelope, bytes);
    return bytes;
}

absl::StatusOr<Message> decode(std::string_view bytes, Encoding encoding)
{
    if (bytes.size() > MaxMessageBytes)
        return absl::ResourceExhaustedError(
            absl::StrCat("message too large: ", bytes.size(), " bytes"));
    if (!isWithinMaxDepth(bytes, encoding))
        return absl::InvalidArgumentError("malformed or too deeply nested message");
    try {
        const json envelope = parse(bytes, encoding);
        const auto version = envelope.at("v").get<unsigned>();
        if (version != WireVersion)
            return absl::UnimplementedError(absl::StrCat("unsupported wire version ", version));
        const auto index = typeIndex(envelope.at("t").get<std::string>());
        if (!index.ok())
            return index.status();
        return decodeBody(*index, envelope.at("b"));
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

std::string_view typeName(const Message &message)
{
    return TypeNames[message.index()];
}

} // namespace rhubarbweir
