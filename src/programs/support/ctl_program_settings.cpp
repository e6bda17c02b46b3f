// See ctl_program_settings.hpp.
#include "programs/support/ctl_program_settings.hpp"

#include "programs/support/common_settings.hpp"

namespace rhubarbweir {

SettingsSchema ctlSettingsSchema()
{
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    SettingsSchema schema("rhubarbctl");
    schema.add(Setting::addressList("control", "addresses", "Addresses of all control instances."));
    schema.add(Setting::text("operator", "name", "Recorded as the author of each table edit.")
                   .otherwise("operator"));
    schema.add(Setting::duration("operator", "timeout", milliseconds(100), minutes(60),
                                 "Maximum time that a command waits for an answer.")
                   .otherwise("15s"));
    schema.addCheck(distinctAddresses({{"control", "addresses"}}));
    return schema;
}

CtlProgramSettings ctlSettingsFrom(const Settings &settings)
{
    CtlProgramSettings ctl;
    ctl.controlAddresses = settings.list("control", "addresses");
    ctl.editor = settings.text("operator", "name");
    ctl.timeout = settings.duration("operator", "timeout");
    return ctl;
}

} // namespace rhubarbweir
