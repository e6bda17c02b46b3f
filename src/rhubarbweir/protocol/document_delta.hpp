// Differences between two versions of a configuration document.
//
// A document of hundreds of groups has hundreds of kilobytes, and most changes concern one route.
// Documents are compared object by object, since operators keep the order and the text of what they
// do not change.
#pragma once

#include "rhubarbweir/state/opaque_bytes.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace rhubarbweir {

// Compressed difference that turns `base` into `document`.
OpaqueBytes encodeDocumentDelta(std::string_view base, std::string_view document);

// Errors: InvalidArgument for malformed bytes, ResourceExhausted for a result of more than `limit`
// bytes, DataLoss if the delta was made for another base.
absl::StatusOr<std::string> applyDocumentDelta(std::string_view base, const OpaqueBytes &delta,
                                               std::size_t limit);

} // namespace rhubarbweir
