// Tests of the view that a pooler holds: whole views and changes.
#include "rhubarbweir/coordination/sessions/authority_view.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;

namespace {

const TimePoint Now(std::chrono::seconds(1000));

FleetView viewOf(std::uint64_t revision, std::uint64_t base, const std::vector<std::string> &names)
{
    FleetView view;
    view.revision = revision;
    view.baseRevision = base;
    for (const std::string &name : names) {
        RegisteredTarget target;
        target.target = TargetId(name);
        view.targets.push_back(target);
    }
    return view;
}

} // namespace

Test(authority_view, changes, .description = "Changes add and remove targets and keep the others")
{
    AuthorityView view;
    cr_assert(view.update(viewOf(5, 0, {"t1", "t2"}), Now));
    FleetView changes = viewOf(7, 5, {"t3"});
    changes.removedTargets = {TargetId("t1")};
    cr_assert(view.update(changes, Now));
    cr_assert_eq(view.targets().size(), 2);
    cr_assert_eq(view.targets().count(TargetId("t1")), 0);
    cr_assert_eq(view.revision(), 7);
}

Test(authority_view, gap, .description = "Changes that start after the revision held are ignored")
{
    AuthorityView view;
    view.update(viewOf(5, 0, {"t1"}), Now);
    cr_assert(!view.update(viewOf(9, 7, {"t2"}), Now));
    cr_assert_eq(view.revision(), 5);
    cr_assert(!AuthorityView().update(viewOf(9, 7, {"t2"}), Now));
}

Test(authority_view, overlap,
     .description = "Changes from an earlier revision apply, and older ones never do")
{
    AuthorityView view;
    view.update(viewOf(5, 0, {"t1"}), Now);
    cr_assert(view.update(viewOf(8, 3, {"t1", "t2"}), Now));
    cr_assert(!view.update(viewOf(6, 3, {"t9"}), Now));
    cr_assert(!view.update(viewOf(8, 0, {"t9"}), Now));
    cr_assert_eq(view.targets().size(), 2);
}

Test(authority_view, whole_view, .description = "A whole view replaces what was held")
{
    AuthorityView view;
    view.update(viewOf(5, 0, {"t1", "t2"}), Now);
    cr_assert(view.update(viewOf(9, 0, {"t3"}), Now));
    cr_assert_eq(view.targets().size(), 1);
}
