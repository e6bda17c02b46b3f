// See command.hpp.
#include "programs/ctl/command.hpp"

#include "rhubarbweir/protocol/codec.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>
#include <random>
#include <sstream>

namespace rhubarbweir {

void writeJson(const Message &message, std::ostream &out)
{
    out << nlohmann::json::parse(encode(message, Encoding::Json)).at("b").dump(2) << "\n";
}

ExitCode reportFailure(CommandContext &context, const absl::Status &status)
{
    context.errors << "rhubarbctl: " << status.message() << "\n";
    if (absl::IsDeadlineExceeded(status))
        return ExitCode::TemporaryFailure;
    return absl::IsUnavailable(status) ? ExitCode::Unavailable : ExitCode::Internal;
}

ExitCode reportUsage(CommandContext &context, const std::string &usage)
{
    context.errors << "Usage: rhubarbctl " << usage << "\n";
    return ExitCode::Usage;
}

std::string requestIdFor(const CommandContext &context)
{
    if (context.commandLine.has("request-id"))
        return context.commandLine.value("request-id");
    std::random_device random;
    std::ostringstream id;
    for (int part = 0; part < 4; ++part)
        id << std::hex << std::setfill('0') << std::setw(8) << random();
    return id.str();
}

} // namespace rhubarbweir
