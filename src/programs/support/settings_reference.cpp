// Writes the settings reference from a schema (declared in settings.hpp).
#include "programs/support/settings.hpp"

#include <ostream>

namespace rhubarbweir {

void writeSettingsReference(const SettingsSchema &schema, std::ostream &out)
{
    out << "## " << schema.program() << "\n";
    std::string section;
    for (const Setting &setting : schema.settings()) {
        if (setting.section != section) {
            section = setting.section;
            out << "\n### [" << section << "]\n\n";
            out << "| key | accepts | default | meaning |\n|---|---|---|---|\n";
        }
        std::string defaultText = "required";
        if (setting.defaultValue)
            defaultText =
                setting.defaultValue->empty() ? "none" : "`" + *setting.defaultValue + "`";
        out << "| `" << setting.key << "` | " << setting.expected() << " | " << defaultText << " | "
            << setting.description << " |\n";
    }
    out << "\n";
}

} // namespace rhubarbweir
