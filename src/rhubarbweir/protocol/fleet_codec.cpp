// See fleet_codec.hpp.
#include "rhubarbweir/protocol/fleet_codec.hpp"

#include "rhubarbweir/protocol/compression.hpp"
#include "rhubarbweir/protocol/internal/depth_check.hpp"
#include "rhubarbweir/protocol/internal/json_messages.hpp"

#include <absl/strings/str_cat.h>

#include <stdexcept>

namespace rhubarbweir {

// Documents from this size on are stored compressed. An entry of the quorum log goes to every
// control instance, and one of 400 KB delays the leader's heartbeats for longer than an election
// takes.
static constexpr std::size_t MinCompressedDocumentBytes = 16 << 10;

template<typename Stored>
static nlohmann::json encodeDocument(const Stored &stored)
{
    nlohmann::json to = {{"version", stored.version}};
    if (stored.document.bytes.size() < MinCompressedDocumentBytes)
        to["document"] = stored.document;
    else
        to["compressed"] = OpaqueBytes(compress(stored.document.bytes));
    return to;
}

template<typename Stored>
static void decodeDocument(const nlohmann::json &from, Stored &stored)
{
    from.at("version").get_to(stored.version);
    const auto compressed = from.find("compressed");
    if (compressed == from.end()) {
        from.at("document").get_to(stored.document);
        return;
    }
    auto document = decompress(compressed->get<OpaqueBytes>().bytes, MaxDocumentBytes);
    if (!document.ok())
        throw std::invalid_argument(document.status().ToString());
    stored.document.bytes = *std::move(document);
}

// Found by nlohmann::json through argument-dependent lookup, as all of these.
static void to_json(nlohmann::json &to, const ConfigurationDocument &stored)
{
    to = encodeDocument(stored);
}

static void from_json(const nlohmann::json &from, ConfigurationDocument &stored)
{
    decodeDocument(from, stored);
}

static void to_json(nlohmann::json &to, const StoreConfiguration &command)
{
    to = encodeDocument(command);
}

static void from_json(const nlohmann::json &from, StoreConfiguration &command)
{
    decodeDocument(from, command);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RevokeAuthority, group, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChooseCandidate, group, generation, candidate, chooser)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PoolerRun, pooler, incarnation, hasEnded)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegisterPooler, pooler, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ForgetPooler, pooler, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegisterObserver, address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ForgetObserver, address)

static void to_json(nlohmann::json &to, const RecordTarget &command)
{
    to = {{"target", command.target}};
    if (!command.displaced.empty())
        to["displaced"] = command.displaced;
}

static void from_json(const nlohmann::json &from, RecordTarget &command)
{
    from.at("target").get_to(command.target);
    // Absent from commands of versions that displaced nothing.
    command.displaced = from.value("displaced", std::vector<RegisteredTarget>());
}

static void to_json(nlohmann::json &to, const GrantAuthority &command)
{
    to = {{"group", command.group},
          {"generation", command.generation},
          {"primary", command.primary},
          {"term", command.term},
          {"start", command.start}};
}

static void from_json(const nlohmann::json &from, GrantAuthority &command)
{
    from.at("group").get_to(command.group);
    from.at("generation").get_to(command.generation);
    from.at("primary").get_to(command.primary);
    // Absent from commands of versions that did not record terms.
    command.term = from.value("term", std::uint64_t{0});
    command.start = from.value("start", LogPosition());
}

static void to_json(nlohmann::json &to, const FleetState::Snapshot &snapshot)
{
    to = {{"revision", snapshot.revision}, {"configuration", snapshot.configuration},
          {"targets", snapshot.targets},   {"authorities", snapshot.authorities},
          {"poolers", snapshot.poolers},   {"observers", snapshot.observers}};
}

static void from_json(const nlohmann::json &from, FleetState::Snapshot &snapshot)
{
    from.at("revision").get_to(snapshot.revision);
    from.at("configuration").get_to(snapshot.configuration);
    from.at("targets").get_to(snapshot.targets);
    from.at("authorities").get_to(snapshot.authorities);
    from.at("poolers").get_to(snapshot.poolers);
    // Absent from snapshots of versions without observers.
    snapshot.observers = from.value("observers", std::vector<std::string>());
}

namespace {

using nlohmann::json;

// Must be incremented when the encoding changes.
constexpr unsigned FleetFormatVersion = 2;

template<std::size_t Index = 0>
FleetCommand decodeCommandBody(std::size_t index, const json &body)
{
    if constexpr (Index < std::variant_size_v<FleetCommand>) {
        if (index == Index)
            return body.get<std::variant_alternative_t<Index, FleetCommand>>();
        return decodeCommandBody<Index + 1>(index, body);
    } else {
        throw std::out_of_range("fleet command index out of range");
    }
}

std::string encodeEnvelope(json body, std::size_t kind)
{
    const json envelope = {{"v", FleetFormatVersion}, {"k", kind}, {"b", std::move(body)}};
    std::string bytes;
    json::to_cbor(envelope, bytes);
    return bytes;
}

absl::StatusOr<json> decodeEnvelope(std::string_view bytes)
{
    const json envelope = json::from_cbor(bytes, true, false);
    if (!envelope.is_object() || !envelope.contains("v") || !envelope.contains("b"))
        return absl::InvalidArgumentError("malformed fleet command or snapshot");
    if (envelope["v"] != FleetFormatVersion)
        return absl::UnimplementedError(
            absl::StrCat("unsupported fleet state format version ", envelope["v"].dump()));
    return envelope;
}

} // namespace

std::string encodeFleetCommand(const FleetCommand &command)
{
    return std::visit(
        [&command](const auto &body) { return encodeEnvelope(json(body), command.index()); },
        command);
}

absl::StatusOr<FleetCommand> decodeFleetCommand(std::string_view bytes)
{
    const auto envelope = decodeEnvelope(bytes);
    if (!envelope.ok())
        return envelope.status();
    try {
        return decodeCommandBody(envelope->at("k").get<std::size_t>(), envelope->at("b"));
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

std::string encodeFleetSnapshot(const FleetState::Snapshot &snapshot)
{
    return encodeEnvelope(json(snapshot), std::variant_size_v<FleetCommand>);
}

// A view of 16,000 targets in groups of three has a fifth of them.
static constexpr std::size_t MaxViewValues = 1 << 20;

OpaqueBytes packFleetView(const FleetView &view)
{
    std::string bytes;
    json::to_cbor(json(view), bytes);
    return OpaqueBytes(compress(bytes));
}

absl::StatusOr<FleetView> unpackFleetView(const OpaqueBytes &packed)
{
    const auto bytes = decompress(packed.bytes, MaxUnpackedViewBytes);
    if (!bytes.ok())
        return bytes.status();
    if (!isWithinMaxDepth(*bytes, Encoding::Cbor, MaxViewValues))
        return absl::InvalidArgumentError("malformed or too complex view");
    try {
        return json::from_cbor(*bytes).get<FleetView>();
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

absl::StatusOr<FleetState::Snapshot> decodeFleetSnapshot(std::string_view bytes)
{
    const auto envelope = decodeEnvelope(bytes);
    if (!envelope.ok())
        return envelope.status();
    try {
        return envelope->at("b").get<FleetState::Snapshot>();
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace rhubarbweir
