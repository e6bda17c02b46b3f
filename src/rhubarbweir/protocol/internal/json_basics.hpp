// JSON conversions of basic types: identifiers, byte strings, durations and named enumerations.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/opaque_bytes.hpp"
#include "rhubarbweir/state/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

namespace nlohmann {

template<typename Tag>
struct adl_serializer<rhubarbweir::StrongId<Tag>>
{
    static void to_json(json &to, const rhubarbweir::StrongId<Tag> &id) { to = id.value; }
    static void from_json(const json &from, rhubarbweir::StrongId<Tag> &id)
    {
        id.value = from.get<std::string>();
    }
};

// Encoded as a CBOR byte string, or in JSON text as the object that nlohmann::json writes for
// binary values.
template<>
struct adl_serializer<rhubarbweir::OpaqueBytes>
{
    static void to_json(json &to, const rhubarbweir::OpaqueBytes &opaque)
    {
        to = json::binary({opaque.bytes.begin(), opaque.bytes.end()});
    }
    static void from_json(const json &from, rhubarbweir::OpaqueBytes &opaque)
    {
        const auto bytes = from.is_object() ? from.at("bytes").get<std::vector<std::uint8_t>>()
                                            : std::vector<std::uint8_t>(from.get_binary());
        opaque.bytes.assign(bytes.begin(), bytes.end());
    }
};

// Encoded in microseconds.
template<>
struct adl_serializer<rhubarbweir::Duration>
{
    static void to_json(json &to, const rhubarbweir::Duration &duration) { to = duration.count(); }
    static void from_json(const json &from, rhubarbweir::Duration &duration)
    {
        duration = rhubarbweir::Duration(from.get<std::int64_t>());
    }
};

// Enumerators are encoded by name. An unknown name is an error.
template<typename Enum>
struct adl_serializer<Enum, std::void_t<decltype(rhubarbweir::EnumNames<Enum>::Names)>>
{
    static void to_json(json &to, const Enum &value)
    {
        to = std::string(rhubarbweir::nameOf(value));
    }
    static void from_json(const json &from, Enum &value)
    {
        const auto found = rhubarbweir::enumFromName<Enum>(from.get<std::string>());
        if (!found)
            throw std::invalid_argument("unknown enumerator " + from.dump());
        value = *found;
    }
};

} // namespace nlohmann
