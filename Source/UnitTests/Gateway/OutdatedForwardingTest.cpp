#include "FleetFixture.h"

#include <atomic>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Gateway/ForwardedRequest.h"
#include "Gateway/OldForwardedRequest.h"
#include "Gateway/RelayMessages.h"

// Requests whose callers a gateway can't authenticate, since its configuration is too old, and that it forwards to another one.

namespace {

using std::chrono::milliseconds;
using namespace UnitTests;

const std::string tenants = R"({"one":{"api_keys":["k1","k2"],"priority":1},"two":{"api_keys":["k3"],"rate_per_s":4,"burst":4}})";
const std::string key = std::string(Names::apiKey) + ": ";
const std::string tenant = std::string(Names::organisation) + ": ";

// Below the margin for rounding, so that a configuration of any age is too old.
constexpr int neverConfirmedMs = 1;
constexpr int revokeMs = 5000;
// Beyond the ages that are usual between two answers of the store, or an unknown key is now and then answered with 503.
constexpr int applyMs = 4500;

std::string configurationWith(int version, const std::string& organisations)
{
    auto value = PlatformStandIn::configurationValue(version, "service",
        R"(,"open":{"host":"host.example","prefix":"/open/","route_type":"safe","timeout_ms":1000,"target_latency_ms":300,"priority":1,"service":"service","max_attempts":2,"public":true})");
    value.pop_back();
    return value + ",\"tenants\":" + organisations + "}";
}

std::string withHeaders(std::string bytes, const std::string& headers)
{
    return bytes.insert(bytes.find("\r\n") + 2, headers);
}

std::string get(const std::string& id, const std::string& headers, const std::string& target = "/safe/x")
{
    return withHeaders(requestBytes("GET", target, id), headers);
}

// Gateways of which the first `outdated` ones hold every configuration for too old.
class OutdatedFleet {
public:
    OutdatedFleet(int gateways, int outdated, int firstPort)
        : m_gateways(gateways)
        , m_outdated(outdated)
        , m_fleet(gateways, firstPort, 3, [this](auto& settings) {
            settings.revokeMs = m_next++ < m_outdated ? neverConfirmedMs : revokeMs;
            settings.applyMs = applyMs;
        })
    {
    }

    Fleet& operator*() { return m_fleet; }
    Fleet* operator->() { return &m_fleet; }

    // Puts a configuration and waits until all gateways have it, know each other, and are ready if they can be.
    bool configure(int version, const std::string& organisations)
    {
        m_fleet.fixture().thread.call([&] { m_fleet.fixture().store->put(Names::operatorTable, Names::configurationKey, configurationWith(version, organisations)); });
        for (int i = 0; i < m_gateways; ++i) {
            auto& gateway = m_fleet.gateway(i);
            if (!eventually([&] { return Fleet::metric(gateway, "configuration_version") == version && Fleet::metric(gateway, "members") == m_gateways; }))
                return false;
            if (i >= m_outdated && !gateway.waitReady())
                return false;
        }
        return true;
    }
    // Whether the first gateway's requests find another one.
    bool waitForwarded()
    {
        return eventually([&] { return m_fleet.gateway(0).call(get("learn", key + "k1\r\n")).status == 200; });
    }
    int sum(const std::string& metric)
    {
        auto total = 0;
        for (int i = 0; i < m_gateways; ++i)
            total += Fleet::metric(m_fleet.gateway(i), metric).value_or(0);
        return total;
    }

private:
    int m_next = 0;
    int m_gateways;
    int m_outdated;
    Fleet m_fleet;
};

struct ForwardedCase {
    std::string what;
    std::string method;
    std::string target;
    std::string headers;
    std::string organisation; // that the server is told
    int status = 200;
    bool isForwarded = true;
    std::size_t bodyBytes = 0;
    std::size_t paddingBytes = 0; // of the answer
};

const ForwardedCase forwardedCases[] = {
    { "known key", "GET", "/safe/x", key + "k1\r\n", "one" },
    { "the caller names an organisation itself", "GET", "/safe/x", key + "k2\r\n" + tenant + "two\r\n", "one" },
    { "not safe to repeat", "POST", "/once/x", key + "k1\r\n", "one", 200, true, 4 },
    { "streamed body", "POST", "/once/x", key + "k1\r\n", "one", 200, true, 900'000 },
    { "answer beyond what a gateway holds", "GET", "/safe/x", key + "k1\r\n", "one", 200, true, 0, 3'000'000 },
    { "the caller claims to be a gateway", "GET", "/safe/x", key + "k1\r\n" + Gateway::forwardedHeader + ": ?service=service&route=r&repeat=safe&goal_ms=300&priority=1&attempts=2\r\n", "one" },
    { "no key, the caller names an organisation", "GET", "/safe/x", tenant + "one\r\n", "", 401 },
    { "unknown key", "GET", "/safe/x", key + "k4\r\n", "", 401 },
    { "two keys", "GET", "/safe/x", key + "k1\r\n" + key + "k3\r\n", "", 401 },
    { "unknown key, body", "POST", "/once/x", key + "k4\r\n", "", 401, true, 4 },
    { "public route", "GET", "/open/x", key + "k4\r\n" + tenant + "two\r\n", "", 200, false },
    { "unknown route", "GET", "/unknown/x", key + "k1\r\n", "", 404, false },
};
}

// Guards against keys and organisations that callers name themselves which reach servers, requests that run without a valid key, and requests that are
// refused though another gateway could serve them.
TEST_CASE("A gateway whose configuration is too old has another one authenticate its callers and serve them")
{
    OutdatedFleet fleet(3, 1, 20600);
    REQUIRE(fleet.configure(2, tenants));
    REQUIRE(fleet.waitForwarded());
    int n = 0;
    for (const auto& row : forwardedCases) {
        CAPTURE(row.what);
        fleet->fixture().thread.call([&] {
            for (auto& server : fleet->fixture().servers)
                server->setPadding(row.paddingBytes);
        });
        auto before = Fleet::metric(fleet->gateway(0), "forwarded_outdated_total").value_or(0);
        auto accepted = fleet.sum("accepted_unauthenticated_total");
        auto id = "hop" + std::to_string(++n);
        auto response = fleet->gateway(0).call(withHeaders(requestBytes(row.method, row.target, id, 5000, std::string(row.bodyBytes, 'b')), row.headers));
        CHECK(response.status == row.status);
        CHECK(!Net::findHeader(response.headers, Gateway::servedByHeader));
        CHECK(fleet->runs(id) == (row.status == 200 ? 1 : 0));
        CHECK(Fleet::metric(fleet->gateway(0), "forwarded_outdated_total").value_or(0) - before == (row.isForwarded ? 1 : 0));
        CHECK(fleet.sum("accepted_unauthenticated_total") - accepted == (row.isForwarded ? 1 : 0));
        if (row.status != 200)
            continue;
        CHECK(response.body == "answer to " + id + std::string(row.paddingBytes, 'x'));
        auto headers = fleet->fixture().thread.call([&] {
            Net::Headers found;
            for (const auto& server : fleet->fixture().servers) {
                if (Net::findHeader(server->lastHeaders(), Names::requestId) == id)
                    found = server->lastHeaders();
            }
            return found;
        });
        CHECK(Net::findHeader(headers, Names::requestId) == id);
        CHECK(!Net::findHeader(headers, Names::apiKey));
        CHECK(!Net::findHeader(headers, Gateway::forwardedHeader));
        CHECK(Net::findHeader(headers, Names::organisation).value_or("") == row.organisation);
    }
    // One hop each, counted where the caller was authenticated.
    CHECK(fleet.sum("forwarded_total") == Fleet::metric(fleet->gateway(0), "forwarded_outdated_total"));
    CHECK(Fleet::metric(fleet->gateway(0), "unauthorized_total") == 0);
    CHECK(fleet.sum("unauthorized_total") == 4);
    CHECK(Fleet::metrics(fleet->gateway(0)).find("k1") == std::string::npos);
}

// Guards against keys that go on working by way of a gateway that does not know of their revocation.
TEST_CASE("A key that was revoked is rejected through a gateway whose configuration is too old, and an added one is accepted")
{
    OutdatedFleet fleet(2, 1, 20603);
    REQUIRE(fleet.configure(2, tenants));
    REQUIRE(fleet.waitForwarded());
    REQUIRE(fleet.configure(3, R"({"one":{"api_keys":["k2","k5"]}})"));
    CHECK(fleet->gateway(0).call(get("revoked", key + "k1\r\n")).status == 401);
    CHECK(fleet->runs("revoked") == 0);
    CHECK(fleet->gateway(0).call(get("added", key + "k5\r\n")).status == 200);
}

// Guards against an allowance that is evaded by way of a gateway which can't authenticate callers, and 429 that turns into another answer.
TEST_CASE("Requests that a gateway with an old configuration forwards count for their organisation's allowance, and its 429 is passed on")
{
    constexpr int rate = 4;
    constexpr int burst = 4;
    constexpr double windowS = 5;
    OutdatedFleet fleet(3, 1, 20606);
    REQUIRE(fleet.configure(2, tenants));
    REQUIRE(fleet.waitForwarded());
    std::vector<Common::TimePoint> served;
    int limited = 0;
    int others = 0;
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
        auto response = fleet->gateway(0).call(get("t" + std::to_string(n), key + "k3\r\n"));
        if (response.status == 200)
            served.push_back(std::chrono::steady_clock::now());
        else if (response.status == 429 && Net::findHeader(response.headers, Names::retryAfter))
            ++limited;
        else
            ++others;
        std::this_thread::sleep_for(milliseconds(30));
    }
    std::size_t worst = 0;
    for (std::size_t from = 0, to = 0; to < served.size(); ++to) {
        while (served[to] - served[from] > Common::fromMilliseconds(1000 * windowS))
            ++from;
        worst = std::max(worst, to - from + 1);
    }
    auto bound = (rate * windowS + burst) * 1.1 + 20;
    MESSAGE("served " << served.size() << ", worst window " << worst << " of " << bound << ", 429 " << limited);
    CHECK(others == 0);
    CHECK(limited > 0);
    CHECK(static_cast<double>(worst) <= bound);
    CHECK(static_cast<double>(served.size()) >= rate * 9);
    CHECK(Fleet::metric(fleet->gateway(0), "refused_allowance_total") == 0);
    CHECK(fleet.sum("refused_allowance_total") == limited);
}

// Guards against requests that go round among gateways none of which may serve them.
TEST_CASE("When the configurations of all gateways are too old, requests are refused at once and not passed on")
{
    constexpr int gateways = 3;
    OutdatedFleet fleet(gateways, gateways, 20609);
    REQUIRE(fleet.configure(2, tenants));
    for (int n = 0; n < 60; ++n) {
        auto id = "none" + std::to_string(n);
        auto start = std::chrono::steady_clock::now();
        auto headers = key + (n % 3 == 0 ? "k4\r\n" : "k1\r\n");
        auto response = fleet->gateway(n % gateways).call(n % 2 == 0 ? get(id, headers) : withHeaders(requestBytes("POST", "/once/x", id, 1000, "body"), headers));
        CHECK(response.status == 503);
        CHECK(Net::findHeader(response.headers, Names::retryAfter));
        CHECK(!Net::findHeader(response.headers, Names::notExecuted));
        CHECK((std::chrono::steady_clock::now() - start < milliseconds(500)));
        CHECK(fleet->runs(id) == 0);
    }
    CHECK(fleet.sum("forwarded_total") == 0);
    CHECK(fleet.sum("accepted_forwarded_total") == 0);
    CHECK(fleet.sum("refused_outdated_total") == 60);
    CHECK(fleet->gateway(0).call(get("open", "", "/open/x")).status == 200);
}

// Guards against a second retry budget, and a second send after the first gateway's, for requests that two gateways handle.
TEST_CASE("Requests that are forwarded for authentication use one gateway's retries")
{
    constexpr int requests = 200;
    constexpr double ratio = 0.2;
    int next = 0;
    Fleet fleet(2, 20612, 8, [&](auto& settings) {
        settings.revokeMs = next++ == 0 ? neverConfirmedMs : revokeMs;
        settings.retryRatio = ratio;
        settings.retrySlack = 0;
    });
    fleet.fixture().thread.call([&] { fleet.fixture().store->put(Names::operatorTable, Names::configurationKey, configurationWith(2, tenants)); });
    REQUIRE(eventually([&] { return fleet.gateway(0).call(get("learn", key + "k1\r\n")).status == 200; }));
    for (std::size_t i = 0; i < 8; ++i)
        fleet.fixture().setMode(i, PlatformStandIn::ServerMode::Sheds);
    auto retries = [&] { return std::pair(Fleet::metric(fleet.gateway(0), "second_sends_total").value_or(0), Fleet::metric(fleet.gateway(1), "second_sends_total").value_or(0)); };
    auto before = retries();
    for (int i = 0; i < requests; ++i)
        CHECK(fleet.gateway(0).call(get("shed" + std::to_string(i), key + "k1\r\n")).status == 503);
    CHECK(retries().first == before.first);
    CHECK(retries().second - before.second >= requests / 10);
    CHECK(retries().second - before.second <= static_cast<int>(ratio * requests));
}

namespace {

struct PortCase {
    std::string what;
    std::string forwarded; // value of the header of forwarded requests
    std::string headers;
    std::string notExecuted; // header of the answer
    int gateway = 1; // 0: its configuration is too old
    int status = 503;
};

const PortCase portCases[] = {
    { "known key", "unauthenticated;configuration=2", key + "k1\r\n", "", 1, 200 },
    { "unknown key", "unauthenticated;configuration=2", key + "k4\r\n", "", 1, 401 },
    { "no key", "unauthenticated;configuration=2", tenant + "one\r\n", "", 1, 401 },
    { "the sender's configuration is newer", "unauthenticated;configuration=3", key + "k1\r\n", Gateway::outdatedReason },
    { "the receiver's configuration is too old as well", "unauthenticated;configuration=2", key + "k1\r\n", Gateway::outdatedReason, 0 },
    { "unknown key, the receiver's configuration is too old as well", "unauthenticated;configuration=2", key + "k4\r\n", Gateway::outdatedReason, 0 },
    { "malformed", "unauthenticated", key + "k1\r\n", Gateway::unreachableReason },
    { "malformed version", "unauthenticated;configuration=x", key + "k1\r\n", Gateway::unreachableReason },
    { "empty header", "", key + "k1\r\n", Gateway::unreachableReason },
};

}

// Guards against a second hop, against requests that run by an older configuration than that of the gateway that sent them, and against requests
// that run since what the other gateway said of them was not understood.
TEST_CASE("A gateway serves another's unauthenticated request only by a recent configuration, and never passes it on")
{
    OutdatedFleet fleet(2, 1, 20614);
    REQUIRE(fleet.configure(2, tenants));
    REQUIRE(fleet.waitForwarded());
    auto forwarded = fleet.sum("forwarded_total");
    int n = 0;
    for (const auto& row : portCases) {
        CAPTURE(row.what);
        auto id = "port" + std::to_string(++n);
        CallerConnection connection(fleet->gateway(row.gateway).daemon().forwardingAddress());
        connection.send(get(id, std::string(Gateway::forwardedHeader) + ": " + row.forwarded + "\r\n" + row.headers));
        auto response = connection.receive();
        CHECK(response.status == row.status);
        CHECK(Net::findHeader(response.headers, Names::notExecuted).value_or("") == row.notExecuted);
        CHECK(fleet->runs(id) == (row.status == 200 ? 1 : 0));
    }
    CHECK(fleet.sum("forwarded_total") == forwarded);
}

// Guards against a gateway that refuses its callers, or serves them by what it knew before, when its machine resumes after a suspension.
TEST_CASE("Requests to a gateway that resumes after a suspension are served by way of another one until it has seen the store again")
{
    GatewayFixture fixture(2);
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(2, tenants)); });
    const std::vector<std::string> controls { "127.0.0.1:20664", "127.0.0.1:20665" };
    auto suspended = std::make_shared<std::atomic<Common::Duration>>(Common::Duration::zero());
    std::vector<std::unique_ptr<RunningGateway>> gateways;
    for (const auto& control : controls) {
        auto settings = RunningGateway::settings(fixture.storeAddress(), controls, control, Common::LogFormat::Off);
        settings.callers = "127.0.0.1:0";
        settings.revokeMs = revokeMs;
        auto hooks = Common::systemHooks();
        if (gateways.empty())
            hooks.bootTime = [system = hooks.bootTime, suspended] { return system() + suspended->load(); };
        gateways.push_back(std::make_unique<RunningGateway>(settings, -1, hooks));
    }
    for (auto& gateway : gateways) {
        REQUIRE(gateway->waitReady());
        REQUIRE(eventually([&] { return Fleet::metric(*gateway, "members") == 2 && Fleet::metric(*gateway, "configuration_version") == 2; }));
    }
    auto& resumed = *gateways[0];
    CHECK(resumed.call(get("before", key + "k1\r\n")).status == 200);
    CHECK(Fleet::metric(resumed, "forwarded_total") == 0);
    auto isConfirmed = [&] { return Fleet::metric(resumed, "configuration_age_ms").value_or(revokeMs) < revokeMs / 2; };
    // The first time, it may not have heard yet that the other one is ready.
    REQUIRE(eventually([&] {
        suspended->store(suspended->load() + std::chrono::minutes(1));
        return resumed.call(get("learn", key + "k1\r\n")).status == 200 && Fleet::metric(resumed, "forwarded_outdated_total").value_or(0) > 0;
    }));
    REQUIRE(eventually(isConfirmed));
    auto before = Fleet::metric(resumed, "forwarded_outdated_total").value_or(0);
    suspended->store(suspended->load() + std::chrono::minutes(1));
    for (int n = 0; n < 10; ++n)
        CHECK(resumed.call(get("resumed" + std::to_string(n), key + "k1\r\n")).status == 200);
    CHECK(Fleet::metric(resumed, "forwarded_outdated_total").value_or(0) > before);
    CHECK(Fleet::metric(*gateways[1], "accepted_unauthenticated_total") == Fleet::metric(resumed, "forwarded_outdated_total"));
    REQUIRE(eventually(isConfirmed));
    auto forwarded = Fleet::metric(resumed, "forwarded_total");
    CHECK(resumed.call(get("after", key + "k1\r\n")).status == 200);
    CHECK(Fleet::metric(resumed, "forwarded_total") == forwarded);
}

// Guards against a key that reaches a server since the gateway that takes the request knows no organisations.
TEST_CASE("Keys and organisations of unauthenticated requests are dropped also by a gateway whose configuration has no organisations")
{
    GatewayFixture fixture(1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    CallerConnection connection(gateway->daemon().forwardingAddress());
    auto forwarded = std::string(Gateway::forwardedHeader) + ": unauthenticated;configuration=1\r\n";
    connection.send(get("none", forwarded.append(key).append("k1\r\n").append(tenant).append("one\r\n")));
    CHECK(connection.receive().status == 200);
    auto headers = fixture.thread.call([&] { return fixture.servers[0]->lastHeaders(); });
    CHECK(Net::findHeader(headers, Names::requestId) == "none");
    CHECK(!Net::findHeader(headers, Names::apiKey));
    CHECK(!Net::findHeader(headers, Names::organisation));
}

// Guards against 401 for keys that are newer than the configuration of the gateway that was asked, and against a refusal of one key for which it is
// left out with all others.
TEST_CASE("A gateway that does not know whether a key is new says so, and serves known ones")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(2, tenants)); });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    fixture.thread.call([&] { fixture.store->setMode(PlatformStandIn::StoreMode::Busy); });
    auto call = [&](const std::string& id, const std::string& apiKey) {
        CallerConnection connection(gateway->daemon().forwardingAddress());
        auto headers = std::string(Gateway::forwardedHeader) + ": unauthenticated;configuration=2\r\n";
        connection.send(get(id, headers.append(key).append(apiKey).append("\r\n")));
        return connection.receive();
    };
    REQUIRE(eventually([&] { return call("learn", "k4").status == 503; }));
    auto response = call("unknown", "k4");
    CHECK(response.status == 503);
    CHECK(Net::findHeader(response.headers, Names::notExecuted) == Gateway::undecidedReason);
    CHECK(fixture.runs.runs("unknown") == 0);
    CHECK(call("known", "k1").status == 200);
}

namespace {

// Another gateway, as a script: how it answers load probes and requests at its port for forwarded requests.
class FakePeer {
public:
    struct Behaviour {
        std::string what;
        // Answers a request; nullopt closes the connection.
        std::function<std::optional<Net::Response>(const Net::Request&)> serve;
        int status = 0; // that the caller gets
        int probeStatus = 200; // to a load probe that asks for authentication; 0: no answer
        int arrivals = 1; // requests that the gateway gets
        std::string retryAfter = {}; // header of the answer that the caller gets
    };

    FakePeer(Net::EventLoop& loop, const Behaviour& behaviour)
        : m_loop(loop)
        , m_behaviour(behaviour)
        , m_server(loop, { .address = "127.0.0.1:0", .serve = [this](const std::shared_ptr<Net::Exchange>& exchange) { serve(exchange); } })
    {
        if (auto opened = m_server.open(); !opened)
            throw std::runtime_error(opened.error().text);
    }

    // Makes contact with a gateway as a member of its fleet.
    void announceTo(const std::string& control)
    {
        Gateway::UpdateRequest update {
            .member = { .control = m_server.address(), .callers = m_server.address(), .failureDomain = "a", .startedMs = 1, .capacity = 1, .serving = true, .forwarding = m_server.address() },
            .position = {},
            .membersFrom = {},
            .membersRevision = 0,
            .wait = {},
            .relayList = {},
            .crashes = {},
            .usage = {},
        };
        Net::Request request { .method = "POST", .target = "/v1/news", .headers = { { "Host", control } }, .body = Gateway::toText(update), .keepAlive = true };
        m_announcements.push_back(Net::ClientConnection::open(m_loop, control, {}));
        m_announcements.back()->send(Net::toBytes(request), true, std::chrono::seconds(1), { .answered = [](Net::ResponseHead&&) {}, .failed = [](const Net::ClientFailure&) {} });
    }
    int probes() const { return m_probes; }
    const std::vector<Net::Request>& requests() const { return m_requests; }

private:
    void serve(const std::shared_ptr<Net::Exchange>& exchange)
    {
        const auto& request = exchange->request();
        if (Net::findHeader(request.headers, Gateway::forwardedHeader)) {
            m_requests.push_back(request);
            auto response = m_behaviour.serve(request);
            return response ? exchange->respond(std::move(*response)) : exchange->abort({ .status = 502, .reason = {}, .headers = {}, .body = {} });
        }
        ++m_probes;
        auto path = Net::pathOf(request.target);
        auto status = path == Gateway::peerProbePath ? 200 : path == Gateway::authenticationProbePath ? m_behaviour.probeStatus
                                                                                                      : 404;
        if (status == 0) {
            m_unanswered.push_back(exchange);
            return;
        }
        exchange->respond({ .status = status, .reason = {}, .headers = { { Names::instanceId, m_server.address() }, { Names::load, "0,0,1,100" } }, .body = {} });
    }

    Net::EventLoop& m_loop;
    Behaviour m_behaviour;
    std::vector<Net::Request> m_requests;
    std::vector<std::shared_ptr<Net::Exchange>> m_unanswered;
    int m_probes = 0;
    std::vector<std::shared_ptr<Net::ClientConnection>> m_announcements;
    Net::HttpServer m_server;
};

Net::Response answer(int status, Net::Headers headers = {})
{
    return { .status = status, .reason = {}, .headers = std::move(headers), .body = {} };
}

std::optional<Net::Response> serveAsOldGateway(const Net::Request& request)
{
    auto text = std::string(Net::findHeader(request.headers, Gateway::forwardedHeader).value_or(""));
    return isAcceptedByOldGateway(text) ? answer(200) : answer(503, { { Names::notExecuted, "unreachable" } });
}

std::optional<Net::Response> serveNothing(const Net::Request&)
{
    return std::nullopt;
}

std::function<std::optional<Net::Response>(const Net::Request&)> always(int status, Net::Headers headers = {})
{
    return [response = answer(status, std::move(headers))](const auto&) { return std::optional(response); };
}

const FakePeer::Behaviour peerCases[] = {
    { "serves it", always(200), 200 },
    { "previous version", serveAsOldGateway, 503, 404, 0 },
    { "previous version in place of the one that has answered the load probe", serveAsOldGateway, 503 },
    { "its configuration is too old", serveNothing, 503, 503, 0 },
    { "its configuration has become too old since the load probe", always(503, { { Names::notExecuted, Gateway::outdatedReason }, { Names::retryAfter, "7" } }), 503 },
    { "does not know the key, which may be new", always(503, { { Names::notExecuted, Gateway::undecidedReason }, { Names::retryAfter, "7" } }), 503 },
    { "reaches no server", always(503, { { Names::notExecuted, Gateway::unreachableReason } }), 503 },
    { "has refused it without executing it", always(503, { { Names::notExecuted, "1" }, { Names::retryAfter, "7" } }), 503, 200, 1, "7" },
    { "no valid key", always(401), 401 },
    { "allowance used up", always(429, { { Names::retryAfter, "7.5" } }), 429, 200, 1, "7.5" },
    { "answer lost", serveNothing, 502 },
    { "silent", serveNothing, 503, 0, 0 },
};

}

// Guards against gateways of the previous version that run a request without authentication, "not executed" of a request that may have run, and
// rejections that are not passed on as they are.
TEST_CASE("What another gateway answers to an unauthenticated request is what the caller gets")
{
    int port = 20640;
    for (const auto& row : peerCases) {
        for (bool isSafe : { true, false }) {
            CAPTURE(row.what);
            CAPTURE(isSafe);
            GatewayFixture fixture(1);
            fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(2, tenants)); });
            auto control = "127.0.0.1:" + std::to_string(port);
            auto settings = RunningGateway::settings(fixture.storeAddress(), {}, control, Common::LogFormat::Off);
            settings.callers = "127.0.0.1:0";
            settings.revokeMs = neverConfirmedMs;
            auto peer = fixture.thread.call([&] { return std::make_unique<FakePeer>(fixture.thread.loop(), row); });
            {
                RunningGateway gateway(settings);
                REQUIRE(eventually([&] { return Fleet::metric(gateway, "configuration_version") == 2; }));
                REQUIRE(eventually([&] {
                    fixture.thread.call([&] { peer->announceTo(control); });
                    return Fleet::metric(gateway, "members") == 2;
                }));
                const auto headers = fmt::format("{}k1\r\n{}two\r\n", key, tenant);
                auto start = std::chrono::steady_clock::now();
                auto response = gateway.call(isSafe ? get("id", headers) : withHeaders(requestBytes("POST", "/once/x", "id", 1000, "body"), headers));
                auto took = std::chrono::steady_clock::now() - start;
                CHECK(response.status == row.status);
                CHECK(took < milliseconds(700));
                CHECK(!Net::findHeader(response.headers, Names::notExecuted));
                auto retryAfter = Net::findHeader(response.headers, Names::retryAfter);
                CHECK(retryAfter.has_value() == (row.status == 503 || row.status == 429));
                if (!row.retryAfter.empty())
                    CHECK(retryAfter == row.retryAfter);
                else if (retryAfter)
                    CHECK(std::stod(std::string(*retryAfter)) < 1);
                CHECK(Fleet::metric(gateway, "sends_total") == 0);
            }
            auto requests = fixture.thread.call([&] { return peer->requests(); });
            REQUIRE(static_cast<int>(requests.size()) == row.arrivals);
            for (const auto& request : requests) {
                CHECK(Net::findHeader(request.headers, Gateway::forwardedHeader) == "unauthenticated;configuration=2");
                CHECK(Net::findHeader(request.headers, Names::apiKey) == "k1");
                CHECK(!Net::findHeader(request.headers, Names::organisation));
                CHECK(Net::findHeader(request.headers, Names::requestId) == "id");
            }
            CHECK(fixture.runs.total() == 0);
            // Members of an earlier row do not reach this one.
            ++port;
            fixture.thread.call([&] { peer.reset(); });
        }
    }
}

// Guards against a request that runs by a configuration which has become too old while it waited, or that is refused though another gateway
// could serve it.
TEST_CASE("A request that waits while the configuration is replaced by one of unproved age goes to another gateway")
{
    // The answer to a load probe takes 1.6 s here, and 160 ms by the gateway's clock, so that the configuration arrives before it.
    constexpr auto pieceDelay = milliseconds(800);
    const int clockFactor = 10;
    const std::string control = "127.0.0.1:20668";
    GatewayFixture fixture(1);
    auto put = [&](int version) { fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(version, tenants)); }); };
    auto hooks = Common::systemHooks();
    auto slowFrom = std::make_shared<std::atomic<Common::TimePoint>>(Common::TimePoint::max());
    auto suspended = std::make_shared<std::atomic<Common::Duration>>(Common::Duration::zero());
    hooks.now = [system = hooks.now, slowFrom, clockFactor]() -> Common::TimePoint {
        auto now = system();
        auto from = slowFrom->load();
        return now <= from ? now : from + (now - from) / clockFactor;
    };
    hooks.bootTime = [system = hooks.bootTime, suspended] { return system() + suspended->load(); };
    std::unique_ptr<Soak::FaultProxy> proxy;
    auto peer = fixture.thread.call([&] { return std::make_unique<FakePeer>(fixture.thread.loop(), peerCases[0]); });
    fixture.thread.call([&] {
        proxy = std::make_unique<Soak::FaultProxy>(fixture.thread.loop(), fixture.servers[0]->address());
        proxy->setDelay(pieceDelay);
        auto value = fixture.servers[0]->registryValue();
        value.replace(value.find(fixture.servers[0]->address()), fixture.servers[0]->address().size(), proxy->address());
        fixture.store->put(Names::registryTable, "server-1", value);
    });
    put(2);
    {
        auto settings = RunningGateway::settings(fixture.storeAddress(), {}, control, Common::LogFormat::Off);
        settings.callers = "127.0.0.1:0";
        settings.revokeMs = revokeMs;
        settings.probesPerServer = 10'000;
        RunningGateway gateway(settings, -1, hooks);
        REQUIRE(gateway.waitReady());
        REQUIRE(eventually([&] { return Fleet::metric(gateway, "reading_store") == 1; }));
        for (int version : { 3, 4 }) {
            put(version);
            REQUIRE(eventually([&] { return Fleet::metric(gateway, "configuration_version") == version; }));
        }
        slowFrom->store(std::chrono::steady_clock::now());
        REQUIRE(eventually([&] {
            fixture.thread.call([&] { peer->announceTo(control); });
            return Fleet::metric(gateway, "members") == 2;
        }));
        REQUIRE(gateway.call(get("first", key + "k1\r\n")).status == 200);
        fixture.thread.call([&] { proxy->setMode(Soak::ProxyMode::Delay); });
        auto sent = Fleet::metric(gateway, "sends_total");
        CallerConnection caller(gateway.daemon().callersAddress());
        caller.send(get("waiting", fmt::format("{}k1\r\n{}two\r\n", key, tenant)));
        REQUIRE(eventually([&] { return Fleet::metric(gateway, "requests_in_flight") == 1; }));
        put(5);
        REQUIRE(eventually([&] { return Fleet::metric(gateway, "configuration_version") == 5; }));
        suspended->store(std::chrono::minutes(1));
        CHECK(Fleet::metric(gateway, "sends_total") == sent);
        CHECK(caller.receive().status == 200);
        CHECK(Fleet::metric(gateway, "sends_total") == sent);
        CHECK(Fleet::metric(gateway, "forwarded_outdated_total") == 1);
        CHECK(fixture.runs.runs("waiting") == 0);
    }
    auto requests = fixture.thread.call([&] { return peer->requests(); });
    REQUIRE(requests.size() == 1);
    CHECK(Net::findHeader(requests[0].headers, Gateway::forwardedHeader) == "unauthenticated;configuration=5");
    CHECK(Net::findHeader(requests[0].headers, Names::apiKey) == "k1");
    CHECK(!Net::findHeader(requests[0].headers, Names::organisation));
    fixture.thread.call([&] {
        proxy.reset();
        peer.reset();
    });
}
