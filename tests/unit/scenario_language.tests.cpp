// Tests the parser of the scenario language.
#include "scenarios/scenario_runner.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;
using namespace rhubarbweir::testing;

Test(scenario_language, parses_steps,
     .description = "a step has a time, a verb, positional arguments and options")
{
    const auto steps = parseScenario("# comment\ngiven proxies p1 p2\n\n"
                                     "at 1.2s write w7 via=p1 key=k # comment\n");
    cr_assert(steps.ok());
    cr_assert_eq(steps->size(), 2);
    cr_assert((*steps)[0].words == (std::vector<std::string>{"p1", "p2"}));
    cr_assert((*steps)[1].at == std::chrono::milliseconds(1200));
    cr_assert((*steps)[1].verb == "write");
    cr_assert((*steps)[1].value("via") == "p1");
    cr_assert_eq((*steps)[1].line, 4);
}

Test(scenario_language, rejects_steps_without_time,
     .description = "a step without a valid time is a syntax error")
{
    cr_assert_not(parseScenario("write w7\n").ok());
    cr_assert_not(parseScenario("at soon write w7\n").ok());
}
