// See document_delta.hpp.
#include "rhubarbweir/protocol/document_delta.hpp"

#include "rhubarbweir/protocol/compression.hpp"
#include "rhubarbweir/protocol/internal/depth_check.hpp"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rhubarbweir {

namespace {

using nlohmann::json;

// With more parts, a difference holds the whole document. A part has at most three values.
constexpr std::size_t MaxParts = 1 << 14;
constexpr std::size_t MaxDeltaValues = 4 * MaxParts;

// Pieces of the text, each up to and including the end of an object.
std::vector<std::string_view> piecesOf(std::string_view text)
{
    std::vector<std::string_view> pieces;
    while (!text.empty()) {
        const std::size_t end = text.find('}');
        const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
        pieces.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return pieces;
}

} // namespace

OpaqueBytes encodeDocumentDelta(std::string_view base, std::string_view document)
{
    const std::vector<std::string_view> known = piecesOf(base);
    std::unordered_map<std::string_view, std::size_t> indexOf;
    for (std::size_t index = 0; index < known.size(); ++index)
        indexOf.emplace(known[index], index);
    // Texts, and ranges of pieces of the base as [first, count].
    json parts = json::array();
    std::string text;
    std::size_t first = 0;
    std::size_t count = 0;
    const auto endRange = [&] {
        if (count > 0)
            parts.push_back({first, count});
        count = 0;
    };
    const auto endText = [&] {
        if (!text.empty())
            parts.push_back(json::binary({text.begin(), text.end()}));
        text.clear();
    };
    for (const std::string_view piece : piecesOf(document)) {
        if (count > 0 && first + count < known.size() && known[first + count] == piece) {
            ++count;
            continue;
        }
        endRange();
        const auto found = indexOf.find(piece);
        if (found == indexOf.end()) {
            text.append(piece);
            continue;
        }
        endText();
        first = found->second;
        count = 1;
    }
    endRange();
    endText();
    if (parts.size() > MaxParts)
        parts = json::array({json::binary({document.begin(), document.end()})});
    const json delta = {{"check", XXH3_64bits(document.data(), document.size())},
                        {"parts", std::move(parts)}};
    std::string bytes;
    json::to_cbor(delta, bytes);
    return OpaqueBytes(compress(bytes));
}

absl::StatusOr<std::string> applyDocumentDelta(std::string_view base, const OpaqueBytes &delta,
                                               std::size_t limit)
{
    const auto bytes = decompress(delta.bytes, limit);
    if (!bytes.ok())
        return bytes.status();
    if (!isWithinMaxDepth(*bytes, Encoding::Cbor, MaxDeltaValues))
        return absl::InvalidArgumentError("malformed or too complex delta");
    const std::vector<std::string_view> known = piecesOf(base);
    std::string document;
    try {
        const json decoded = json::from_cbor(*bytes);
        for (const json &part : decoded.at("parts")) {
            if (part.is_binary()) {
                const auto &text = part.get_binary();
                document.append(text.begin(), text.end());
            } else {
                const auto first = part.at(0).get<std::size_t>();
                const auto count = part.at(1).get<std::size_t>();
                if (first > known.size() || count > known.size() - first)
                    return absl::DataLossError("the delta is for another document");
                for (std::size_t index = first; index < first + count; ++index)
                    document.append(known[index]);
            }
            if (document.size() > limit)
                return absl::ResourceExhaustedError(absl::StrCat("more than ", limit, " bytes"));
        }
        if (decoded.at("check").get<std::uint64_t>()
            != XXH3_64bits(document.data(), document.size()))
            return absl::DataLossError("the delta is for another document");
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
    return document;
}

} // namespace rhubarbweir
