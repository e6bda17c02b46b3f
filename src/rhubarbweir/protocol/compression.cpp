// See compression.hpp.
#include "rhubarbweir/protocol/compression.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <new>
#include <zlib.h>

namespace rhubarbweir {

namespace {

constexpr std::size_t InflateStepBytes = 64 << 10;

Bytef *bytesOf(std::string_view text)
{
    // zlib reads its input through pointers to mutable bytes.
    return const_cast<Bytef *>(reinterpret_cast<const Bytef *>(text.data()));
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    // The output has room for any input, so only memory can be short.
    if (::compress2(reinterpret_cast<Bytef *>(compressed.data()), &size, bytesOf(bytes),
                    bytes.size(), Z_DEFAULT_COMPRESSION)
        != Z_OK)
        throw std::bad_alloc();
    compressed.resize(size);
    return compressed;
}

absl::StatusOr<std::string> decompress(std::string_view compressed, std::size_t limit)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return absl::ResourceExhaustedError("no memory for decompression");
    stream.next_in = bytesOf(compressed);
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string bytes;
    int status = Z_OK;
    while (status == Z_OK && bytes.size() <= limit) {
        const std::size_t before = bytes.size();
        bytes.resize(before + InflateStepBytes);
        stream.next_out = reinterpret_cast<Bytef *>(bytes.data() + before);
        stream.avail_out = InflateStepBytes;
        status = inflate(&stream, Z_NO_FLUSH);
        bytes.resize(bytes.size() - stream.avail_out);
    }
    const bool isComplete = status == Z_STREAM_END && stream.avail_in == 0;
    inflateEnd(&stream);
    if (status == Z_MEM_ERROR)
        return absl::ResourceExhaustedError("no memory for decompression");
    if (bytes.size() > limit)
        return absl::ResourceExhaustedError(absl::StrCat("more than ", limit, " bytes"));
    if (!isComplete)
        return absl::InvalidArgumentError("malformed compressed bytes");
    return bytes;
}

} // namespace rhubarbweir
