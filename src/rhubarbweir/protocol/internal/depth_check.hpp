// Checks how deeply encoded bytes are nested, because they are decoded by recursion.
#pragma once

#include "rhubarbweir/protocol/codec.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace rhubarbweir {

// Maximum nesting depth of maps and lists. No message, view or difference needs more than half of
// it.
inline constexpr std::size_t MaxDepth = 32;
// Up to this size, in bytes, a message cannot be nested deeply enough to exhaust a thread's stack.
inline constexpr std::size_t MaxUncheckedBytes = 1024;

// SAX handler that builds no values and aborts parsing beyond MaxDepth.
class DepthChecker : public nlohmann::json::json_sax_t
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override { return ++this->depth <= MaxDepth; }
    bool end_object() override { return this->decreaseDepth(); }
    bool start_array(std::size_t) override { return ++this->depth <= MaxDepth; }
    bool end_array() override { return this->decreaseDepth(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    bool decreaseDepth()
    {
        --this->depth;
        return true;
    }

    std::size_t depth = 0;
};

// False also for malformed bytes, unless they are few.
inline bool isWithinMaxDepth(std::string_view bytes, Encoding encoding)
{
    if (bytes.size() <= MaxUncheckedBytes)
        return true;
    DepthChecker checker;
    const auto format = encoding == Encoding::Cbor ? nlohmann::json::input_format_t::cbor
                                                   : nlohmann::json::input_format_t::json;
    return nlohmann::json::sax_parse(bytes, &checker, format);
}

} // namespace rhubarbweir
