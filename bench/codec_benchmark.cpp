// Measures the time to encode and decode the messages of statements, leases and announcements.
#include "rhubarbweir/protocol/codec.hpp"

#include <benchmark/benchmark.h>

namespace {

using namespace rhubarbweir;

CallerRequest callerRequest()
{
    CallerRequest request;
    request.caller = CallerId("station-17");
    request.session = SessionId("proxy-3-1-00000042");
    request.requestId = 4711;
    request.group = GroupId("windlog-1");
    request.key = "gust/erie-south/17";
    request.value = "31.4";
    request.timeLeft = std::chrono::seconds(1);
    request.token.observe(request.group, {3, 123456});
    return request;
}

StatementReply statementReply()
{
    StatementReply reply;
    reply.request = keyOf(callerRequest());
    reply.result = StatementResult::Ok;
    reply.key = "gust/erie-south/17";
    reply.value = "31.4";
    reply.status.target = TargetId("windlog-1-a");
    reply.status.group = GroupId("windlog-1");
    return reply;
}

GroupView groupView(int number)
{
    GroupView view;
    view.group = GroupId("windlog-" + std::to_string(number));
    view.primary = TargetId(view.group.value + "-a");
    for (const char *suffix : {"-a", "-b", "-c"}) {
        const TargetId target(view.group.value + suffix);
        view.targets.push_back(
            {target, "10.1.2.3:7000", FailureDomainId("erie-south"), 100, false});
    }
    for (const char *proxy : {"proxy-01", "proxy-02"}) {
        HolderView holder{InstanceId(proxy), "10.1.2.4:7100", FailureDomainId("huron-bay"), 7, {}};
        for (const auto &target : view.targets)
            holder.grants.push_back({target.target, 2, 30});
        view.holders.push_back(holder);
    }
    return view;
}

LeaseGranted leaseGranted(int groups)
{
    LeaseGranted granted;
    for (int group = 0; group < groups; ++group)
        granted.delta.groups.push_back(groupView(group));
    return granted;
}

void encodeMessage(benchmark::State &state, const Message &message)
{
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes = encode(message).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}

void decodeMessage(benchmark::State &state, const Message &message)
{
    const std::string bytes = encode(message);
    for (auto _ : state)
        benchmark::DoNotOptimize(decode(bytes));
}

void encodeLease(benchmark::State &state)
{
    encodeMessage(state, leaseGranted(static_cast<int>(state.range(0))));
}

void decodeLease(benchmark::State &state)
{
    decodeMessage(state, leaseGranted(static_cast<int>(state.range(0))));
}

BENCHMARK_CAPTURE(encodeMessage, caller_request, callerRequest());
BENCHMARK_CAPTURE(decodeMessage, caller_request, callerRequest());
BENCHMARK_CAPTURE(encodeMessage, forward_request, ForwardRequest{1, callerRequest()});
BENCHMARK_CAPTURE(decodeMessage, forward_request, ForwardRequest{1, callerRequest()});
BENCHMARK_CAPTURE(encodeMessage, statement_reply, statementReply());
BENCHMARK_CAPTURE(decodeMessage, statement_reply, statementReply());
BENCHMARK_CAPTURE(encodeMessage, renew_lease, RenewLease{});
BENCHMARK_CAPTURE(decodeMessage, renew_lease, RenewLease{});
BENCHMARK_CAPTURE(encodeMessage, announcement, Announcement{});
BENCHMARK_CAPTURE(decodeMessage, announcement, Announcement{});
BENCHMARK(encodeLease)->Arg(0)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(decodeLease)->Arg(0)->Arg(1)->Arg(10)->Arg(100);

} // namespace

BENCHMARK_MAIN();
