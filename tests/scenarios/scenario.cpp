// See scenario.hpp.
#include "scenarios/scenario.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <tao/pegtl.hpp>

#include <cmath>
#include <utility>

namespace rhubarbweir::testing {

namespace {

namespace pegtl = tao::pegtl;

namespace grammar {

using pegtl::blank;
using pegtl::digit;
using pegtl::opt;
using pegtl::plus;
using pegtl::seq;
using pegtl::sor;
using pegtl::star;

struct Comment : seq<pegtl::one<'#'>, pegtl::until<pegtl::at<pegtl::eolf>>>
{
};
struct Text : plus<pegtl::not_one<' ', '\t', '\r', '\n', '#', '='>>
{
};
struct Time
    : seq<plus<digit>, opt<pegtl::one<'.'>, plus<digit>>,
          sor<pegtl::string<'u', 's'>, pegtl::string<'m', 's'>, pegtl::one<'s'>, pegtl::one<'h'>>>
{
};
struct OptionName : Text
{
};
struct OptionValue : plus<pegtl::not_one<' ', '\t', '\r', '\n', '#'>>
{
};
struct Verb : Text
{
};
struct PositionalArgument : Text
{
};
struct Option : seq<OptionName, pegtl::one<'='>, OptionValue>
{
};
struct Argument : sor<Option, PositionalArgument>
{
};
struct TimedPrefix : seq<pegtl::string<'a', 't'>, plus<blank>, Time, plus<blank>>
{
};
struct GivenPrefix : seq<pegtl::string<'g', 'i', 'v', 'e', 'n'>, plus<blank>>
{
};
struct StepLine : seq<sor<TimedPrefix, GivenPrefix>, Verb, star<plus<blank>, Argument>>
{
};
struct Line : seq<star<blank>, opt<StepLine>, star<blank>, opt<Comment>>
{
};
struct File : pegtl::must<pegtl::list<Line, pegtl::eol>, pegtl::eof>
{
};

} // namespace grammar

struct ParseState
{
    std::vector<Step> steps;
    Step current;
    std::string optionName;
    bool started = false;
};

template<typename Rule>
struct Action : pegtl::nothing<Rule>
{
};
template<>
struct Action<grammar::Time>
{
    template<typename Input>
    static void apply(const Input &in, ParseState &state)
    {
        state.current.at = parseDuration(in.string_view()).value_or(Duration{0});
    }
};
template<>
struct Action<grammar::Verb>
{
    template<typename Input>
    static void apply(const Input &in, ParseState &state)
    {
        state.current.verb = in.string();
        state.current.line = in.position().line;
    }
};
template<>
struct Action<grammar::OptionName>
{
    template<typename Input>
    static void apply(const Input &in, ParseState &state)
    {
        state.optionName = in.string();
    }
};
template<>
struct Action<grammar::OptionValue>
{
    template<typename Input>
    static void apply(const Input &in, ParseState &state)
    {
        state.current.options[state.optionName] = in.string();
    }
};
template<>
struct Action<grammar::PositionalArgument>
{
    template<typename Input>
    static void apply(const Input &in, ParseState &state)
    {
        state.current.words.push_back(in.string());
    }
};
template<>
struct Action<grammar::StepLine>
{
    static void apply0(ParseState &state)
    {
        state.steps.push_back(std::exchange(state.current, Step{}));
    }
};

} // namespace

std::string Step::word(std::size_t index) const
{
    return index < this->words.size() ? this->words[index] : std::string();
}

std::string Step::value(const std::string &name, const std::string &fallback) const
{
    const auto found = this->options.find(name);
    return found == this->options.end() ? fallback : found->second;
}

std::int64_t Step::number(const std::string &name, std::int64_t fallback) const
{
    std::int64_t parsed = fallback;
    const auto found = this->options.find(name);
    if (found != this->options.end() && !absl::SimpleAtoi(found->second, &parsed))
        return fallback;
    return parsed;
}

Duration Step::duration(const std::string &name, Duration fallback) const
{
    const auto found = this->options.find(name);
    return found == this->options.end() ? fallback
                                        : parseDuration(found->second).value_or(fallback);
}

absl::StatusOr<Duration> parseDuration(std::string_view text)
{
    struct Unit
    {
        std::string_view suffix;
        double microseconds;
    };
    constexpr Unit units[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"h", 3.6e9}};
    for (const Unit &unit : units) {
        if (text.size() <= unit.suffix.size()
            || text.substr(text.size() - unit.suffix.size()) != unit.suffix)
            continue;
        double count = 0;
        const auto digits = text.substr(0, text.size() - unit.suffix.size());
        if (absl::SimpleAtod({digits.data(), digits.size()}, &count))
            return Duration(std::llround(count * unit.microseconds));
    }
    return absl::InvalidArgumentError(absl::StrCat("invalid duration: ", std::string(text)));
}

absl::StatusOr<std::vector<Step>> parseScenario(std::string_view text)
{
    ParseState state;
    pegtl::memory_input input(text.data(), text.size(), "scenario");
    try {
        pegtl::parse<grammar::File, Action>(input, state);
    } catch (const pegtl::parse_error &error) {
        return absl::InvalidArgumentError(error.what());
    }
    return state.steps;
}

} // namespace rhubarbweir::testing
