// Checks how deeply encoded bytes are nested, because they are decoded by recursion, and how many
// values they hold, because a decoded value takes many times the memory of an encoded one.
#pragma once

#include "rhubarbweir/protocol/codec.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

namespace rhubarbweir {

// Maximum nesting depth of maps and lists. No message, view or difference needs more than half of
// it.
inline constexpr std::size_t MaxDepth = 32;
// Up to this size, in bytes, a message cannot be nested deeply enough to exhaust a thread's stack.
inline constexpr std::size_t MaxUncheckedBytes = 1024;

// SAX handler that builds no values and aborts parsing beyond MaxDepth or `maxValues`.
class DepthChecker : public nlohmann::json::json_sax_t
{
public:
    explicit DepthChecker(std::size_t maxValues)
        : valuesLeft(maxValues)
    {
    }

    bool null() override { return this->countValue(); }
    bool boolean(bool) override { return this->countValue(); }
    bool number_integer(number_integer_t) override { return this->countValue(); }
    bool number_unsigned(number_unsigned_t) override { return this->countValue(); }
    bool number_float(number_float_t, const string_t &) override { return this->countValue(); }
    bool string(string_t &) override { return this->countValue(); }
    bool binary(binary_t &) override { return this->countValue(); }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override
    {
        return this->countValue() && ++this->depth <= MaxDepth;
    }
    bool end_object() override { return this->decreaseDepth(); }
    bool start_array(std::size_t) override
    {
        return this->countValue() && ++this->depth <= MaxDepth;
    }
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

    bool countValue()
    {
        if (this->valuesLeft == 0)
            return false;
        --this->valuesLeft;
        return true;
    }

    std::size_t valuesLeft;
    std::size_t depth = 0;
};

// False also for malformed bytes, unless they are few.
inline bool isWithinMaxDepth(std::string_view bytes, Encoding encoding,
                             std::size_t maxValues = std::numeric_limits<std::size_t>::max())
{
    if (bytes.size() <= MaxUncheckedBytes)
        return true;
    DepthChecker checker(maxValues);
    const auto format = encoding == Encoding::Cbor ? nlohmann::json::input_format_t::cbor
                                                   : nlohmann::json::input_format_t::json;
    return nlohmann::json::sax_parse(bytes, &checker, format);
}

} // namespace rhubarbweir
