#include <ctime>
#include <malloc.h>
#include <pthread.h>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "Gateway/GatewayFixture.h"
#include "Gateway/RelayMessages.h"
#include "platform/Rows.h"

// Cost of organisations: authentication, admission, the ledger of the leading relay and the configuration with its API keys, beside the processor
// time of a whole request.

namespace {

using Decisions::AllowanceLimit;

constexpr int gateways = 221; // of the first deployment
constexpr int organisationsOfDeployment = 85;
// Reports of a second: a follower's long poll takes 0.4 to 0.9 s.
constexpr int reportsPerSecond = 245;
// Of the leading relay, see CatalogSync.
constexpr int updatesPerSecond = 10;

std::string organisationName(std::int64_t i)
{
    return fmt::format("organisation-{:04}", i);
}

// As random keys are written: 32 hexadecimal digits.
std::string apiKey(std::int64_t i)
{
    return fmt::format("{:016x}{:016x}", Common::hash("key", static_cast<std::uint64_t>(i)), Common::hash("rest", static_cast<std::uint64_t>(i)));
}

// Value of the operators' row with `keys` API keys, spread over the organisations.
std::string configurationText(std::int64_t keys, std::int64_t organisations = organisationsOfDeployment, int version = 2)
{
    auto text = PlatformStandIn::configurationValue(version, "service");
    text.pop_back();
    text += ",\"tenants\":{";
    for (std::int64_t i = 0; i < organisations; ++i) {
        text += fmt::format("{}\"{}\":{{\"priority\":1,\"rate_per_s\":1000000,\"burst\":1000000,\"api_keys\":[", i == 0 ? "" : ",", organisationName(i));
        for (auto key = i; key < keys; key += organisations)
            text += fmt::format("{}\"{}\"", key == i ? "" : ",", apiKey(key));
        text += "]}";
    }
    return text + "}}";
}

std::string requestWithKey(const std::string& key, const std::string& id)
{
    auto bytes = UnitTests::requestBytes("GET", "/safe/items/1234?view=short", id);
    return bytes.insert(bytes.find("\r\n") + 2, std::string(PlatformAdapter::Names::apiKey) + ": " + key + "\r\n");
}

std::size_t allocatedBytes()
{
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// A router that gets no requests from sockets.
struct RouterParts {
    explicit RouterParts(std::int64_t keys)
        : router(loop, log, backends, peers, options())
        , confirmed(Common::bootTime(loop.hooks()))
    {
        router.apply(std::make_shared<const Gateway::Configuration>(PlatformAdapter::parseConfiguration(configurationText(keys)).value()));
    }

    Gateway::RequestRouterOptions options()
    {
        Gateway::RequestRouterOptions options;
        options.headers = PlatformAdapter::binding().headers;
        options.configurationAge = [this] { return std::optional(Common::bootTime(loop.hooks()) - confirmed); };
        options.revokeTime = std::chrono::hours(1);
        return options;
    }

    Net::EventLoop loop { Common::systemHooks() };
    Common::EventLog log { { .process = "bench", .format = Common::LogFormat::Off } };
    Gateway::Backends backends { loop, log, {} };
    Gateway::Members members { {} };
    Gateway::PeerGateways peers { loop, members, {} };
    Gateway::RequestRouter router;
    Common::TimePoint confirmed;
};

// The caller of one request of many is known. Each request has another key, so that the table is not in the processor's cache only.
void identifyCaller(benchmark::State& state)
{
    RouterParts parts(state.range(0));
    const auto& route = parts.router.configuration()->routes.front();
    constexpr std::int64_t requests = 4096;
    std::vector<Net::Request> list;
    for (std::int64_t i = 0; i < requests; ++i) {
        auto bytes = requestWithKey(apiKey(i * 7919 % state.range(0)), "request-1");
        list.push_back(Net::parseRequestHead(bytes).head->request);
    }
    std::size_t n = 0;
    for (auto it : state) {
        (void)it;
        benchmark::DoNotOptimize(parts.router.identify(list[n++ % list.size()], route));
    }
}

// The table of keys alone.
void findKey(benchmark::State& state)
{
    auto configuration = PlatformAdapter::parseConfiguration(configurationText(state.range(0))).value();
    std::vector<std::string> keys;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        keys.push_back(apiKey(i * 7919 % state.range(0)));
    std::size_t n = 0;
    for (auto it : state) {
        (void)it;
        benchmark::DoNotOptimize(configuration.organisations.find(keys[n++ % keys.size()]));
    }
}

std::vector<AllowanceLimit> limitsOf(std::int64_t organisations)
{
    std::vector<AllowanceLimit> limits;
    for (std::int64_t i = 0; i < organisations; ++i)
        limits.push_back({ .organisation = organisationName(i), .ratePerSecond = 250, .burst = 250 });
    return limits;
}

void admitRequest(benchmark::State& state)
{
    Decisions::FleetAllowance allowance;
    allowance.setLimits(limitsOf(state.range(0)));
    auto hooks = Common::systemHooks();
    std::vector<std::string> names;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        names.push_back(organisationName(i * 7919 % state.range(0)));
    std::size_t n = 0;
    for (auto it : state) {
        (void)it;
        benchmark::DoNotOptimize(allowance.gate().admit(names[n++ % names.size()], hooks.now(), Common::randomUnit(hooks)));
    }
}

// Bodies of the requests that the leading relay gets within a second. `share` of the organisations had requests at each gateway.
std::vector<std::vector<std::string>> requestsOfSeconds(int seconds, double share)
{
    std::vector<std::vector<std::string>> texts(static_cast<std::size_t>(seconds));
    std::vector<std::map<std::string, std::uint64_t>> counts(gateways);
    auto hooks = Common::systemHooks();
    int next = 0;
    for (auto& second : texts) {
        for (int i = 0; i < reportsPerSecond; ++i) {
            auto gateway = static_cast<std::size_t>(next++ % gateways);
            Gateway::UpdateRequest request;
            request.member.control = fmt::format("10.0.1.{}:8166", gateway);
            Decisions::UsageReport report { .gateway = request.member.control, .startedMs = 1, .isFull = next <= gateways, .countedFor = std::chrono::seconds(100), .usage = {} };
            for (int organisation = 0; organisation < organisationsOfDeployment; ++organisation) {
                auto name = organisationName(organisation);
                if (next > gateways && Common::randomUnit(hooks) >= share)
                    continue;
                auto n = ++counts[gateway][name];
                report.usage.push_back({ .organisation = name, .received = n, .admitted = n });
            }
            request.usage = { report };
            second.push_back(Gateway::toText(request));
        }
    }
    return texts;
}

// A second at the leading relay: the reports are read and entered, and the fractions calculated. Argument: per cent of the organisations that
// each report names. 700 requests a second over 221 gateways are 2 in a report.
void leadFor1s(benchmark::State& state)
{
    constexpr int seconds = 20;
    auto texts = requestsOfSeconds(seconds, static_cast<double>(state.range(0)) / 100);
    std::size_t at = texts.size();
    Common::TimePoint now(std::chrono::hours(1));
    std::optional<Decisions::FleetAllowance> allowance;
    for (auto it : state) {
        (void)it;
        if (at == texts.size()) {
            state.PauseTiming();
            allowance.emplace();
            allowance->setLimits(limitsOf(organisationsOfDeployment));
            allowance->lead(true, now);
            for (const auto& text : texts.front())
                allowance->merge(Gateway::parseUpdateRequest(text).value().usage, now);
            at = 1;
            state.ResumeTiming();
        }
        const auto& second = texts[at++];
        for (std::size_t i = 0; i < second.size(); ++i) {
            now += std::chrono::nanoseconds(std::chrono::seconds(1)) / reportsPerSecond;
            allowance->merge(Gateway::parseUpdateRequest(second[i]).value().usage, now);
            if (i % (reportsPerSecond / updatesPerSecond) == 0)
                allowance->lead(true, now);
        }
    }
}

// The same requests without any usage: what the relay does anyway.
void parseUpdateRequestsOf1s(benchmark::State& state)
{
    Gateway::UpdateRequest request;
    request.member.control = "10.0.1.1:8166";
    auto text = Gateway::toText(request);
    for (auto it : state) {
        (void)it;
        for (int i = 0; i < reportsPerSecond; ++i)
            benchmark::DoNotOptimize(Gateway::parseUpdateRequest(text));
    }
}

// The heads of a request and its response, read from the caller and the server and written to the other: a part of each request's cost.
void parseAndWriteHeads(benchmark::State& state)
{
    auto requestText = requestWithKey(apiKey(1), "request-1");
    auto responseText = Net::headBytes(Net::Response { .status = 200, .reason = "OK", .headers = { { "Content-Type", "application/json" }, { "X-Request", "request-1" }, { "X-Load", "1,0,6,100" } }, .body = {} }, true, Net::Framing::Length, 100);
    for (auto it : state) {
        (void)it;
        auto request = Net::parseRequestHead(requestText).head;
        benchmark::DoNotOptimize(Net::headBytes(request->request, request->framing, request->length));
        auto response = Net::parseResponseHead(responseText, true).head;
        benchmark::DoNotOptimize(Net::headBytes(response->response, true, response->framing, response->length));
    }
}

double threadSeconds(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Processor time that the gateway's thread takes for a request from caller to server and back, without logs. Arguments: API keys (0: no organisations),
// requests at a time.
void wholeRequest(benchmark::State& state)
{
    UnitTests::GatewayFixture fixture(0);
    fixture.thread.call([&] {
        for (int i = 0; i < 4; ++i) {
            PlatformStandIn::ServerOptions options { .id = fmt::format("server-{}", i), .slots = 64, .work = std::chrono::milliseconds(1) };
            fixture.servers.push_back(std::make_unique<PlatformStandIn::Server>(fixture.thread.loop(), fixture.runs, options));
            fixture.store->put(PlatformAdapter::Names::registryTable, options.id, fixture.servers.back()->registryValue());
        }
    });
    if (state.range(0) > 0)
        fixture.thread.call([&] { fixture.store->put(PlatformAdapter::Names::operatorTable, PlatformAdapter::Names::configurationKey, configurationText(state.range(0))); });
    auto gateway = fixture.gateway();
    if (!gateway->waitReady())
        return state.SkipWithError("the gateway is not ready");
    clockid_t clock {};
    pthread_getcpuclockid(gateway->thread().native_handle(), &clock);
    auto connections = std::vector<std::unique_ptr<UnitTests::CallerConnection>>();
    for (std::int64_t i = 0; i < state.range(1); ++i)
        connections.push_back(std::make_unique<UnitTests::CallerConnection>(gateway->daemon().callersAddress()));
    std::int64_t n = 0;
    std::int64_t failed = 0;
    double total = 0;
    for (auto it : state) {
        (void)it;
        auto before = threadSeconds(clock);
        for (auto& connection : connections) {
            ++n;
            connection->send(requestWithKey(apiKey(n % std::max<std::int64_t>(1, state.range(0))), fmt::format("request-{}", n)));
        }
        for (auto& connection : connections)
            failed += connection->receive().status == Net::HttpStatus::Ok ? 0 : 1;
        auto took = threadSeconds(clock) - before;
        total += took;
        state.SetIterationTime(took);
    }
    state.counters["us_per_request"] = total * 1e6 / static_cast<double>(n);
    state.counters["failed"] = static_cast<double>(failed);
}

// Reading a configuration. Counters: bytes of the row, and bytes allocated for what is kept of it.
void readConfiguration(benchmark::State& state)
{
    auto text = configurationText(state.range(0));
    auto before = allocatedBytes();
    auto configuration = PlatformAdapter::parseConfiguration(text);
    auto kept = allocatedBytes() - before;
    for (auto it : state) {
        (void)it;
        benchmark::DoNotOptimize(PlatformAdapter::parseConfiguration(text));
    }
    state.counters["row_bytes"] = static_cast<double>(text.size());
    state.counters["kept_bytes"] = static_cast<double>(kept);
}

void keyCounts(benchmark::internal::Benchmark* bench)
{
    for (auto n : { 85, 10'000, 100'000 })
        bench->Arg(n);
}

BENCHMARK(identifyCaller)->Apply(keyCounts);
BENCHMARK(findKey)->Apply(keyCounts);
BENCHMARK(admitRequest)->Arg(organisationsOfDeployment)->Arg(1000);
BENCHMARK(leadFor1s)->Arg(2)->Arg(25)->Arg(100)->Unit(benchmark::kMillisecond);
BENCHMARK(parseUpdateRequestsOf1s)->Unit(benchmark::kMillisecond);
BENCHMARK(parseAndWriteHeads);
BENCHMARK(wholeRequest)->Args({ 0, 1 })->Args({ 85, 1 })->Iterations(5000)->UseManualTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(wholeRequest)->Args({ 0, 32 })->Args({ 85, 32 })->Args({ 100'000, 32 })->Iterations(500)->UseManualTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(readConfiguration)->Apply(keyCounts)->Unit(benchmark::kMillisecond);

}
