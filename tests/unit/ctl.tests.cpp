// Tests of the parts of rhubarbctl: CSV, deployment checks and the control client.
#include "programs/ctl/control_client.hpp"
#include "programs/ctl/deployment_check.hpp"
#include "programs/ctl/table_csv.hpp"
#include "programs/load/load_settings.hpp"
#include "programs/support/control_program_settings.hpp"
#include "programs/support/ctl_program_settings.hpp"
#include "programs/support/proxy_program_settings.hpp"
#include "programs/support/standin_program_settings.hpp"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

using namespace rhubarbweir;
using namespace std::chrono_literals;

namespace {

namespace fs = std::filesystem;

// A copy of an example deployment that a test may modify.
class DeploymentCopy
{
public:
    DeploymentCopy()
        : folder(fs::temp_directory_path() / ("rhubarbctl-test-" + std::to_string(::getpid())))
    {
        fs::remove_all(this->folder);
        fs::copy(fs::path(RHUBARBWEIR_EXAMPLES) / "lakeshore", this->folder);
    }
    ~DeploymentCopy() { fs::remove_all(this->folder); }

    void replace(const std::string &file, const std::string &from, const std::string &to)
    {
        std::ostringstream content;
        content << std::ifstream(this->folder / file).rdbuf();
        std::string text = content.str();
        const std::size_t at = text.find(from);
        cr_assert(at != std::string::npos);
        std::ofstream(this->folder / file) << text.replace(at, from.size(), to);
    }

    std::string faults() const
    {
        std::ostringstream out;
        for (const SettingsFault &fault : checkDeployment(this->folder.string()).faults)
            out << fault << "\n";
        return out.str();
    }

private:
    fs::path folder;
};

// Control instances with answers given by the test, on a thread of their own.
class FakeControl
{
public:
    using Answer = std::function<void(const ConnectionPtr &, const Message &)>;

    void add(const std::string &address, Answer answer)
    {
        ServerHooks hooks;
        hooks.accepted = [answer](const ConnectionPtr &connection, Subprotocol) {
            std::weak_ptr<Connection> weak = connection;
            connection->onMessage = [weak, answer](const Message &message) {
                answer(weak.lock(), message);
            };
        };
        this->servers.push_back(std::make_unique<WebSocketServer>(
            this->loop, address, std::vector<Subprotocol>{Subprotocol::Control}, 10, hooks));
        cr_assert(this->servers.back()->listen().ok());
    }
    void start()
    {
        this->thread = std::thread([this] { this->loop.run(); });
    }
    ~FakeControl()
    {
        this->loop.stop();
        this->thread.join();
    }

private:
    EventLoop loop;
    std::vector<std::unique_ptr<WebSocketServer>> servers;
    std::thread thread;
};

const std::string FirstAddress = "127.0.0.1:17471";
const std::string SecondAddress = "127.0.0.1:17472";
// Tests run concurrently, so each server has its own port.
const std::string ThirdAddress = "127.0.0.1:17474";
const std::string UnusedAddress = "127.0.0.1:17473";

CsvTable csvOf(const std::string &text)
{
    std::istringstream in(text);
    return readTableCsv(in);
}

} // namespace

Test(table_csv, round_trip, .description = "an exported table is read back unchanged")
{
    const std::vector<TableRow> rows{{{RowScope::Group, "windlog-1", "slots"}, "3", 4},
                                     {{RowScope::Target, "windlog-1-a", "weight"}, "50", 1}};
    std::ostringstream out;
    writeTableCsv(rows, out);
    const CsvTable table = csvOf(out.str());
    cr_assert(table.faults.empty());
    cr_assert(table.rows.size() == 2);
    cr_assert(table.rows[1].key == rows[1].key);
    cr_assert(table.rows[1].value == "50");
    cr_assert(table.rows[0].version == 4u);
}

Test(table_csv, faults, .description = "all errors of a file are reported with their lines")
{
    const CsvTable table = csvOf("scope,name,field,value\n"
                                 "group,windlog-1,slots,3\n"
                                 "galaxy,windlog-1,slots,3\n"
                                 "group,windlog-1,slots\n"
                                 "group,windlog-1,slots,4\n");
    cr_assert(table.faults.size() == 3);
    cr_assert(table.faults[0].line == 3);
    cr_assert(table.faults[1].line == 4);
    cr_assert(table.faults[2].line == 5);
    cr_assert(csvOf("").faults.size() == 1);
    cr_assert(csvOf("name,value\n").faults.size() == 1);
    cr_assert(csvOf("scope,name,field,value,version\ngroup,a,b,c,x\n").faults.size() == 1);
}

Test(deployment_check, examples, .description = "both example deployments are valid")
{
    for (const char *name : {"lakeshore", "rallye"}) {
        const DeploymentCheck check =
            checkDeployment(std::string(RHUBARBWEIR_EXAMPLES) + "/" + name);
        cr_assert(check.faults.empty());
        cr_assert(check.controlCount == 3);
        cr_assert(check.proxyCount == 16);
        cr_assert(check.targetCount == 9);
    }
    cr_assert(checkDeployment("/nonexistent").faults.size() == 1);
}

Test(deployment_check, across_files, .description = "inconsistencies between files are found")
{
    DeploymentCopy copy;
    copy.replace("proxy-9.ini", "id = proxy-9", "id = proxy-8");
    copy.replace("proxy-9.ini", "127.0.0.1:7209", "127.0.0.1:7208");
    copy.replace("proxy-7.ini", "127.0.0.1:7103", "127.0.0.1:7109");
    copy.replace("windlog-1-a.ini", ", ontario-north", "");
    const std::string faults = copy.faults();
    for (const char *expected :
         {"[instance] id: found \"proxy-8\", expected a unique value",
          "[listen] address: found \"127.0.0.1:7208\"",
          "[control] addresses: found \"127.0.0.1:7109\", expected the listen address",
          "[instance] known_failure_domains: found a different list"})
        cr_assert(faults.find(expected) != std::string::npos, "missing: %s in %s", expected,
                  faults.c_str());
}

Test(settings_page, current, .description = "docs/SETTINGS.md matches the settings schemas")
{
    std::ostringstream page;
    page << std::ifstream(fs::path(RHUBARBWEIR_EXAMPLES) / "../docs/SETTINGS.md").rdbuf();
    for (const SettingsSchema &schema :
         {controlSettingsSchema(), proxySettingsSchema(), standinSettingsSchema(),
          ctlSettingsSchema(), loadSettingsSchema()}) {
        std::ostringstream reference;
        writeSettingsReference(schema, reference);
        cr_assert(page.str().find(reference.str()) != std::string::npos,
                  "run tools/update-settings-page: %s differs", schema.program().c_str());
    }
}

Test(control_client, follows_leader,
     .description = "an edit follows the leader and is resent with its id after a lost answer")
{
    std::vector<std::string> requestIds;
    FakeControl control;
    control.add(FirstAddress, [](const ConnectionPtr &connection, const Message &message) {
        TableEditResult result;
        result.requestId = std::get<TableEdit>(message).requestId;
        result.outcome = EditOutcome::NotLeader;
        result.leaderAddress = SecondAddress;
        connection->send(result);
    });
    control.add(SecondAddress, [&](const ConnectionPtr &connection, const Message &message) {
        requestIds.push_back(std::get<TableEdit>(message).requestId);
        TableEditResult result;
        result.outcome = EditOutcome::Accepted;
        result.revision = 7;
        if (requestIds.size() == 1)
            connection->close(CloseReason::GoingAway);
        else
            connection->send(result);
    });
    control.start();
    ControlClient client({UnusedAddress, FirstAddress}, 10s, nullptr);
    const auto result = client.ask<TableEditResult>(TableEdit{"edit-1", "tester", {}});
    cr_assert(result.ok(), "%s", result.status().ToString().c_str());
    cr_assert(result->revision == 7);
    cr_assert(requestIds == (std::vector<std::string>{"edit-1", "edit-1"}));
}

Test(control_client, timeout, .description = "a request without any leader ends at its deadline")
{
    ControlClient client({UnusedAddress}, 300ms, nullptr);
    cr_assert(absl::IsDeadlineExceeded(client.ask<StatusReport>(StatusQuery{}).status()));
}

Test(control_client, wrong_type, .description = "an answer of the wrong type is an error")
{
    FakeControl control;
    control.add(ThirdAddress, [](const ConnectionPtr &connection, const Message &) {
        connection->send(LeaseRefused{});
    });
    control.start();
    ControlClient client({ThirdAddress}, 5s, nullptr);
    cr_assert(absl::IsInternal(client.ask<TableRows>(TableQuery{}).status()));
}
