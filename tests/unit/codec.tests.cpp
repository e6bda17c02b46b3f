// Tests of message encoding and decoding.
#include "rhubarbweir/protocol/codec.hpp"

#include "rhubarbweir/protocol/compression.hpp"
#include "rhubarbweir/protocol/document_delta.hpp"
#include "rhubarbweir/protocol/fleet_codec.hpp"

#include <criterion/criterion.h>

#include <sys/resource.h>

using namespace rhubarbweir;

Test(codec, round_trip, .description = "a request keeps its fields when encoded as CBOR or JSON")
{
    CallerRequest request;
    request.session = SessionId("s1");
    request.requestId = 7;
    request.kind = RequestKind::Write;
    request.group = GroupId("windlog-1");
    request.timeLeft = std::chrono::milliseconds(250);
    request.token.observe(request.group, {3, 41});
    for (const Encoding encoding : {Encoding::Cbor, Encoding::Json}) {
        const auto decoded = decode(encode(request, encoding), encoding);
        cr_assert(decoded.ok());
        const auto &copy = std::get<CallerRequest>(*decoded);
        cr_assert(keyOf(copy) == keyOf(request));
        cr_assert(copy.kind == RequestKind::Write);
        cr_assert(copy.timeLeft == request.timeLeft);
        cr_assert(copy.token.required(request.group) == (LogPosition{3, 41}));
    }
}

Test(codec, typed_errors,
     .description = "malformed, unsupported and oversized input returns a typed error")
{
    cr_assert(absl::IsInvalidArgument(decode("no CBOR here").status()));
    cr_assert(absl::IsInvalidArgument(decode("{}", Encoding::Json).status()));
    cr_assert(
        absl::IsUnimplemented(decode(R"({"v":9,"t":"read","b":{}})", Encoding::Json).status()));
    cr_assert(
        absl::IsUnimplemented(decode(R"({"v":1,"t":"zzz","b":{}})", Encoding::Json).status()));
    const std::string large(MaxMessageBytes + 1, 'x');
    cr_assert(absl::IsResourceExhausted(decode(large).status()));
}

Test(codec, unknown_enumerator,
     .description = "an unknown enumerator is an error instead of a default value")
{
    std::string text = encode(MoveSession{}, Encoding::Json);
    text.replace(text.find("draining"), 8, "dreaming");
    cr_assert(absl::IsInvalidArgument(decode(text, Encoding::Json).status()));
}

Test(codec, opaque_payload, .description = "payload bytes that are not valid UTF-8 are preserved")
{
    QuorumAppend append;
    append.entries.resize(1);
    append.entries.front().kind = EntryKind::Payload;
    for (int byte = 0; byte < 256; ++byte)
        append.entries.front().payload.bytes.push_back(static_cast<char>(byte));
    for (const Encoding encoding : {Encoding::Cbor, Encoding::Json}) {
        const auto decoded = decode(encode(append, encoding), encoding);
        cr_assert(decoded.ok());
        const auto &copy = std::get<QuorumAppend>(*decoded);
        cr_assert(copy.entries.at(0).payload == append.entries.at(0).payload);
    }
}

Test(codec, omitted_defaults,
     .description = "members that are left out as defaults come back as defaults, others as sent")
{
    FleetLease lease;
    lease.sequence = 9;
    lease.poolers = 0;
    lease.view.revision = 7;
    lease.positions = {{GroupId("g"), 2, {3, 41}, std::chrono::milliseconds(250)}};
    for (const Encoding encoding : {Encoding::Cbor, Encoding::Json}) {
        const std::string bytes = encode(lease, encoding);
        cr_assert_eq(bytes.find("formerPoolers"), std::string::npos);
        const auto decoded = decode(bytes, encoding);
        cr_assert(decoded.ok());
        const auto &copy = std::get<FleetLease>(*decoded);
        cr_assert_eq(copy.sequence, 9);
        cr_assert_eq(copy.poolers, 0, "its default is 1");
        cr_assert_eq(copy.view.revision, 7);
        cr_assert(copy.view.targets.empty());
        cr_assert_eq(copy.positions.front().generation, 2);
        cr_assert(copy.positions.front().position == (LogPosition{3, 41}));
        cr_assert(copy.positions.front().age == std::chrono::milliseconds(250));
    }
    cr_assert_eq(std::get<FleetLease>(*decode(encode(FleetLease{}))).poolers, 1);
}

Test(codec, packed_view,
     .description = "a packed view comes back whole, damaged bytes are an error")
{
    FleetView view;
    view.revision = 12;
    view.baseRevision = 7;
    view.targets.resize(40);
    view.targets.back().target = TargetId("t40");
    view.removedTargets = {TargetId("gone")};
    view.authorities.resize(1);
    view.authorities.front().primary = TargetId("t40");
    const OpaqueBytes packed = packFleetView(view);
    const auto copy = unpackFleetView(packed);
    cr_assert(copy.ok());
    cr_assert_eq(copy->revision, 12);
    cr_assert_eq(copy->baseRevision, 7);
    cr_assert(copy->targets == view.targets);
    cr_assert_eq(copy->removedTargets.front(), TargetId("gone"));
    cr_assert_eq(copy->authorities.front().primary, TargetId("t40"));
    cr_assert_not(unpackFleetView(OpaqueBytes(packed.bytes.substr(0, 20))).ok());
    cr_assert_not(unpackFleetView(OpaqueBytes("no view")).ok());
}

// Members that are usually absent must pass the shortened form of both messages: a pooler that sent
// one ended by an exception.
Test(codec, renewals_and_answers_keep_their_optional_members)
{
    RenewLease renewal;
    renewal.configurationVersion = 7;
    renewal.peersVersion = 3;
    renewal.tokens = TokenReport{5, 9, {{TeamId("blue"), 4, 3, 2, 1}}};
    const auto renewed = std::get<RenewLease>(*decode(encode(renewal)));
    cr_assert_eq(renewed.configurationVersion, 7);
    cr_assert_eq(*renewed.peersVersion, 3);
    cr_assert_eq(renewed.tokens->teams.at(0).team.value, "blue");
    cr_assert(!std::get<RenewLease>(*decode(encode(RenewLease{}))).tokens);

    FleetLease lease;
    lease.peers = PoolerPeers{8, 3, {{InstanceId("p1"), "10.0.0.1:7441"}}};
    lease.tokens = TokenAnswer{5, 9, false, Duration(3000), {{TeamId("blue"), 6, true}}};
    const auto answered = std::get<FleetLease>(*decode(encode(lease)));
    cr_assert_eq(answered.peers->peers.at(0).address, "10.0.0.1:7441");
    cr_assert_eq(answered.tokens->grants.at(0).tokens, 6);
    cr_assert(!std::get<FleetLease>(*decode(encode(FleetLease{}))).peers);
}

// Proxies and control instances of different versions have to understand each other during an
// update.
Test(codec, renewals_of_proxies_hold_every_member)
{
    const std::string text = encode(RenewLease{}, Encoding::Json);
    for (const char *member : {"\"address\"", "\"draining\"", "\"groups\"", "\"overloadedGroups\""})
        cr_assert(text.find(member) != std::string::npos, "%s is missing", member);
}

namespace {

std::string documentOf(int groups, int timeout, int newRoutes = 0)
{
    std::string document = "{\"version\":1,\"routes\":[";
    for (int index = 0; index < groups + newRoutes; ++index)
        document += (index == 0 ? "" : ",") + std::string("{\"name\":\"r-")
                    + std::to_string(index * 7919 % 100003) + "\",\"timeout_ms\":"
                    + std::to_string(index == groups / 2 ? timeout : 800) + "}";
    return document + "]}";
}

} // namespace

Test(document_delta, small_changes,
     .description = "A changed and a new route cost poolers no more bytes in a large configuration")
{
    const std::string base = documentOf(2000, 800);
    for (const std::string &document :
         {documentOf(2000, 900), documentOf(2000, 800, 3), documentOf(1900, 800), base}) {
        const OpaqueBytes delta = encodeDocumentDelta(base, document);
        cr_assert_lt(delta.bytes.size(), 300);
        const auto applied = applyDocumentDelta(base, delta, 1 << 20);
        cr_assert(applied.ok());
        cr_assert_eq(*applied, document);
    }
}

Test(
    document_delta, other_base,
    .description = "A pooler with another document than the leader assumes does not use the result")
{
    const OpaqueBytes delta = encodeDocumentDelta(documentOf(50, 800), documentOf(50, 900));
    std::string other = documentOf(50, 800);
    other.replace(other.find("800"), 3, "801");
    cr_assert(absl::IsDataLoss(applyDocumentDelta(other, delta, 1 << 20).status()));
    cr_assert(absl::IsDataLoss(applyDocumentDelta("{}", delta, 1 << 20).status()));
    cr_assert_not(applyDocumentDelta(documentOf(50, 800), delta, 100).ok());
    cr_assert_not(applyDocumentDelta(documentOf(50, 800), OpaqueBytes("x"), 1 << 20).ok());
}

Test(document_delta, deeply_nested,
     .description = "Malformed bytes do not exhaust the stack of a pooler")
{
    const OpaqueBytes delta(compress(std::string(1 << 20, '\x81')));
    cr_assert(absl::IsInvalidArgument(applyDocumentDelta("{}", delta, 4 << 20).status()));
    cr_assert(absl::IsInvalidArgument(unpackFleetView(delta).status()));
}

Test(document_delta, many_values,
     .description = "Malformed bytes do not exhaust the memory of a pooler")
{
    const auto peakKilobytes = [] {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    // A list of numbers, without its length.
    const OpaqueBytes delta(compress("\x9f" + std::string(4'000'000, '\0') + "\xff"));
    const long before = peakKilobytes();
    cr_assert(absl::IsInvalidArgument(applyDocumentDelta("{}", delta, 4 << 20).status()));
    cr_assert(absl::IsInvalidArgument(unpackFleetView(delta).status()));
    cr_assert_lt(peakKilobytes() - before, 48 << 10);
}

Test(document_delta, many_changes,
     .description = "A document with changes everywhere reaches poolers too")
{
    std::string base;
    std::string document;
    for (int index = 0; index < 100000; ++index) {
        base += "{" + std::to_string(index) + "}";
        document += "{" + std::to_string(index % 2 == 0 ? index : -index) + "}";
    }
    const auto applied = applyDocumentDelta(base, encodeDocumentDelta(base, document), 4 << 20);
    cr_assert(applied.ok());
    cr_assert_eq(*applied, document);
}
