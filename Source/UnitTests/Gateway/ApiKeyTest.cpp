#include <atomic>

#include <doctest/doctest.h>

#include "Gateway/FleetFixture.h"
#include "Gateway/ForwardedRequest.h"
#include "Gateway/LogFile.h"

namespace {

using namespace UnitTests;

const std::string twoTenants = R"({"one":{"api_keys":["k1","k2"],"priority":1},"two":{"api_keys":["k3"],"priority":1}})";

std::string configurationWith(int version, const std::string& tenants)
{
    auto value = PlatformStandIn::configurationValue(version, "service",
        R"(,"open":{"host":"host.example","prefix":"/open/","route_type":"safe","timeout_ms":1000,"target_latency_ms":300,"priority":1,"service":"service","max_attempts":2,"public":true})");
    value.pop_back();
    return value + ",\"tenants\":" + tenants + "}";
}

std::string withHeaders(const std::string& id, const std::string& headers, const std::string& target = "/safe/x")
{
    auto bytes = requestBytes("GET", target, id);
    return bytes.insert(bytes.find("\r\n") + 2, headers);
}

struct KeyCase {
    std::string what;
    std::string headers;
    std::string target;
    int status;
    std::string organisation; // that the server is told
};

const std::string key = std::string(Names::apiKey) + ": ";
const std::string tenant = std::string(Names::organisation) + ": ";

const KeyCase keyCases[] = {
    { "valid key", key + "k1\r\n", "/safe/x", 200, "one" },
    { "second key of the organisation", key + "k2\r\n", "/safe/x", 200, "one" },
    { "key of another organisation", key + "k3\r\n", "/safe/x", 200, "two" },
    { "header name in lower case", "x-cowslipledge-key: k3\r\n", "/safe/x", 200, "two" },
    { "the caller names an organisation itself", key + "k1\r\n" + tenant + "two\r\n", "/safe/x", 200, "one" },
    { "no key", "", "/safe/x", 401, "" },
    { "no key, the caller names an organisation", tenant + "one\r\n", "/safe/x", 401, "" },
    { "unknown key", key + "k4\r\n", "/safe/x", 401, "" },
    { "empty key", key + "\r\n", "/safe/x", 401, "" },
    { "another case", key + "K1\r\n", "/safe/x", 401, "" },
    { "blank in the key", key + "k1 k1\r\n", "/safe/x", 401, "" },
    { "list of keys", key + "k1, k3\r\n", "/safe/x", 401, "" },
    { "the same key twice", key + "k1\r\n" + key + "k1\r\n", "/safe/x", 401, "" },
    { "two keys", key + "k1\r\n" + key + "k3\r\n", "/safe/x", 401, "" },
    { "public route, no key", "", "/open/x", 200, "" },
    { "public route, any key and organisation", key + "k4\r\n" + tenant + "two\r\n", "/open/x", 200, "" },
    { "unknown route", key + "k1\r\n", "/unknown/x", 404, "" },
};

}

// Guards against keys that reach servers, requests served for the wrong organisation, and requests served without a key.
TEST_CASE("A request is served for the organisation that holds its key, and the server gets the name instead of the key")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(2, twoTenants)); });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    int n = 0;
    for (const auto& row : keyCases) {
        CAPTURE(row.what);
        auto id = "key" + std::to_string(++n);
        auto response = gateway->call(withHeaders(id, row.headers, row.target));
        CHECK(response.status == row.status);
        CHECK(fixture.runs.runs(id) == (row.status == 200 ? 1 : 0));
        if (row.status != 200)
            continue;
        auto headers = fixture.thread.call([&] { return fixture.servers[0]->lastHeaders(); });
        CHECK(!Net::findHeader(headers, Names::apiKey));
        CHECK(Net::findHeader(headers, Names::organisation).value_or("") == row.organisation);
    }
    auto metrics = RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body;
    CHECK(metrics.find("cowslipledge_unauthorized_total 9") != std::string::npos);
    CHECK(metrics.find("k1") == std::string::npos);
}

namespace {

struct BadKeyCase {
    std::string what;
    std::string headers; // with "sesame", a valid key, wherever one could be guessed
    int status; // on a route that needs a key
    int openStatus; // on a public route
};

const std::string chunkedBody = "Transfer-Encoding: chunked\r\n\r\n0\r\n" + key + "sesame\r\n\r\n";

// 400: docs/HTTP-SYNTAX.md; the rest is no key of anyone.
const BadKeyCase badKeyCases[] = {
    { "the same key twice", key + "sesame\r\n" + key + "sesame\r\n", 401, 200 },
    { "a valid key before an unknown one", key + "sesame\r\n" + key + "other\r\n", 401, 200 },
    { "an unknown key before a valid one", key + "other\r\n" + key + "sesame\r\n", 401, 200 },
    { "a valid key and an empty one", key + "sesame\r\n" + key + "\r\n", 401, 200 },
    { "two header names that differ in case", key + "sesame\r\nx-COWSLIPLEDGE-kEY: sesame\r\n", 401, 200 },
    { "keys of two organisations", key + "sesame\r\n" + key + "mellon\r\n", 401, 200 },
    { "list of the same key", key + "sesame,sesame\r\n", 401, 200 },
    { "blank within the key", key + "ses ame\r\n", 401, 200 },
    { "tab within the key", key + "ses\tame\r\n", 401, 200 },
    { "text after a blank", key + "sesame open\r\n", 401, 200 },
    { "quoted key", key + "\"sesame\"\r\n", 401, 200 },
    { "scheme before the key", key + "Bearer sesame\r\n", 401, 200 },
    { "percent-encoded key", key + "%73esame\r\n", 401, 200 },
    { "key in upper case", key + "SESAME\r\n", 401, 200 },
    { "start of a key", key + "sesam\r\n", 401, 200 },
    { "longer than a key", key + "sesame1\r\n", 401, 200 },
    { "no-break space after the key", key + "sesame\xc2\xa0\r\n", 401, 200 },
    { "byte above ASCII in the key", key + "sesame\xff\r\n", 401, 200 },
    { "overlong UTF-8 for a letter of the key", key + "\xc1\xb3"
                                                      "esame\r\n",
        401, 200 },
    { "only blanks", key + " \t \r\n", 401, 200 },
    { "organisation's name as the key", key + "one\r\n", 401, 200 },
    { "key of 257 bytes", key + std::string(257, 's') + "\r\n", 401, 200 },
    { "key of 60 KB", key + std::string(60 * 1024, 's') + "\r\n", 401, 200 },
    { "60 KB that begin with a key", key + "sesame" + std::string(60 * 1024, ' ') + "s\r\n", 401, 200 },
    { "key under another name", "X-Cowslipledge-Key2: sesame\r\n", 401, 200 },
    { "key in the query of a header", "Cookie: X-Cowslipledge-Key=sesame\r\n", 401, 200 },
    { "NUL in the key", key + std::string("ses\0ame", 7) + "\r\n", 400, 400 },
    { "NUL after the key", key + std::string("sesame\0", 7) + "\r\n", 400, 400 },
    { "carriage return in the key", key + "sesame\rx\r\n", 400, 400 },
    { "line feed in the key", key + "ses\name\r\n", 400, 400 },
    { "escape character in the key", key + "sesame\x1b\r\n", 400, 400 },
    { "delete character in the key", key + "sesame\x7f\r\n", 400, 400 },
    { "folded line", key + "\r\n sesame\r\n", 400, 400 },
    { "blank before the colon", "X-Cowslipledge-Key : sesame\r\n", 400, 400 },
    { "blank before the name", " X-Cowslipledge-Key: sesame\r\n", 400, 400 },
};

struct GoodKeyCase {
    std::string what;
    std::string headers;
    std::string organisation;
};

const GoodKeyCase goodKeyCases[] = {
    { "blanks around the key, which are no part of it", key + " \t sesame \t \r\n", "one" },
    { "no blank before the key", "X-Cowslipledge-Key:sesame\r\n", "one" },
    { "header name in upper case", "X-COWSLIPLEDGE-KEY: mellon\r\n", "two" },
    { "header name in mixed case", "x-cOWSLIPLEDGE-kEY: sesame\r\n", "one" },
};

}

// Guards against a gateway that guesses which key a caller meant, and against keys that reach servers, logs or metrics on such a way.
TEST_CASE("A request whose key is not exactly one known key is answered with 401, or 400 if it is malformed, and its key goes nowhere")
{
    LogFile log;
    std::string metrics;
    int received = 0;
    {
        GatewayFixture fixture(1);
        fixture.thread.call([&] {
            auto value = configurationWith(2, R"({"one":{"api_keys":["sesame"]},"two":{"api_keys":["mellon"]}})");
            // So that a key of 60 KB is answered because of its length.
            constexpr std::string_view limit = "\"max_header_bytes\":";
            auto at = value.find(limit) + limit.size();
            value.replace(at, value.find_first_of(",}", at) - at, "131072");
            fixture.store->put(Names::operatorTable, Names::configurationKey, value);
        });
        auto gateway = fixture.gateway({}, "127.0.0.1:0", log.descriptor());
        REQUIRE(gateway->waitReady());
        auto checkServed = [&](const std::string& id, const std::string& organisation) {
            CHECK(fixture.runs.runs(id) == 1);
            auto headers = fixture.thread.call([&] { return fixture.servers[0]->lastHeaders(); });
            CHECK(!Net::findHeader(headers, Names::apiKey));
            CHECK(Net::findHeader(headers, Names::organisation).value_or("") == organisation);
        };
        for (const auto& row : badKeyCases) {
            CAPTURE(row.what);
            auto id = "bad" + std::to_string(++received);
            CHECK(gateway->call(withHeaders(id, row.headers)).status == row.status);
            CHECK(fixture.runs.runs(id) == 0);
            auto openId = "open" + std::to_string(received);
            CHECK(gateway->call(withHeaders(openId, row.headers, "/open/x")).status == row.openStatus);
            if (row.openStatus == 200)
                checkServed(openId, "");
        }
        for (const auto& row : goodKeyCases) {
            CAPTURE(row.what);
            auto id = "good" + std::to_string(++received);
            CHECK(gateway->call(withHeaders(id, row.headers)).status == 200);
            checkServed(id, row.organisation);
        }
        metrics = RunningGateway::get(gateway->daemon().metricsAddress(), "/metrics").body;
    }
    for (const auto* text : { "sesame", "mellon", "ssssssss" }) {
        CHECK(log.text().find(text) == std::string::npos);
        CHECK(metrics.find(text) == std::string::npos);
    }
    CHECK(log.text().find("call-unauthorized") != std::string::npos);
}

// Guards against keys that pass in a place that is no header of the request.
TEST_CASE("A key in the trailer of a body identifies no one and does not reach a server")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(2, R"({"one":{"api_keys":["sesame"]}})")); });
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    auto send = [&](const std::string& id, const std::string& target) {
        auto bytes = requestBytes("POST", target, id);
        bytes.resize(bytes.size() - 2);
        return gateway->call(bytes + chunkedBody);
    };
    CHECK(send("closed", "/safe/x").status == 401);
    CHECK(fixture.runs.runs("closed") == 0);
    CHECK(send("open", "/open/x").status == 200);
    auto headers = fixture.thread.call([&] { return fixture.servers[0]->lastHeaders(); });
    CHECK(!Net::findHeader(headers, Names::apiKey));
}

// Guards against deployments without organisations whose headers of that name would be changed.
TEST_CASE("Without organisations, headers of keys and organisations are passed on as any other")
{
    GatewayFixture fixture(1);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    CHECK(gateway->call(withHeaders("plain", key + "k1\r\n" + tenant + "two\r\n")).status == 200);
    auto headers = fixture.thread.call([&] { return fixture.servers[0]->lastHeaders(); });
    CHECK(Net::findHeader(headers, Names::apiKey) == "k1");
    CHECK(Net::findHeader(headers, Names::organisation) == "two");
}

// Guards against keys that go on working after the configuration without them is in force.
TEST_CASE("A revoked key is rejected once the configuration without it is in force, and an added one is accepted")
{
    GatewayFixture fixture(1);
    auto put = [&](int version, const std::string& tenants) {
        fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(version, tenants)); });
    };
    put(2, twoTenants);
    auto gateway = fixture.gateway();
    REQUIRE(gateway->waitReady());
    CHECK(gateway->call(withHeaders("before", key + "k3\r\n")).status == 200);
    put(3, R"({"one":{"api_keys":["k1","k5"]}})");
    CHECK(eventually([&] { return gateway->call(withHeaders("after", key + "k3\r\n")).status == 401; }));
    CHECK(gateway->call(withHeaders("kept", key + "k1\r\n")).status == 200);
    CHECK(gateway->call(withHeaders("added", key + "k5\r\n")).status == 200);
}

namespace {

struct RevokingCase {
    std::string what;
    std::string other; // fields of another organisation in the configuration that takes the key away
};

const RevokingCase revokingCases[] = {
    { "a limit is lifted by a rate of 0, its burst stays", R"("api_keys":["k3"],"rate_per_s":0,"burst":250)" },
    { "burst alone", R"("api_keys":["k3"],"burst":250)" },
    { "fractional rate", R"("api_keys":["k3"],"rate_per_s":0.5,"burst":250)" },
    { "negative rate", R"("api_keys":["k3"],"rate_per_s":-1)" },
    { "key that is no text", R"("api_keys":["k3",7])" },
    { "priority that is no number", R"("api_keys":["k3"],"priority":"high")" },
};

}

// Guards against a key that works on for good, as its revocation came with a field of another organisation that was refused with the whole configuration.
TEST_CASE("A key is revoked, and a new one accepted, whatever the limits and fields of another organisation are")
{
    for (const auto& row : revokingCases) {
        CAPTURE(row.what);
        GatewayFixture fixture(1);
        auto put = [&](int version, const std::string& tenants) {
            fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(version, tenants)); });
        };
        put(2, R"({"one":{"api_keys":["k1"]},"two":{"api_keys":["k3"],"rate_per_s":250,"burst":250}})");
        auto gateway = fixture.gateway();
        REQUIRE(gateway->waitReady());
        CHECK(gateway->call(withHeaders("before", key + "k1\r\n")).status == 200);
        put(3, R"({"one":{"api_keys":["k5"]},"two":{)" + row.other + "}}");
        CHECK(eventually([&] { return gateway->call(withHeaders("revoked", key + "k1\r\n")).status == 401; }));
        CHECK(gateway->call(withHeaders("added", key + "k5\r\n")).status == 200);
        CHECK(gateway->call(withHeaders("other", key + "k3\r\n")).status == 200);
    }
}

// Guards against a key that works on for good where the configuration without it can't be read at all.
TEST_CASE("A gateway that can't use the newest configuration refuses keys once the one in force is too old, and its ready answer says why")
{
    GatewayFixture fixture(1);
    auto put = [&](const std::string& value) {
        fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, value); });
    };
    put(configurationWith(2, twoTenants));
    auto settings = RunningGateway::settings(fixture.storeAddress(), {}, "127.0.0.1:0", Common::LogFormat::Off);
    settings.revokeMs = 3000;
    RunningGateway gateway(settings);
    REQUIRE(gateway.waitReady());
    CHECK(gateway.call(withHeaders("before", key + "k1\r\n")).status == 200);
    put(R"({"version":"00000003","routes":[]})");
    auto ready = [&] { return RunningGateway::get(gateway.daemon().readyAddress(), Names::readyPath); };
    REQUIRE(eventually([&] { return ready().status == 503; }));
    CHECK(ready().body.find("state: configuration-outdated") != std::string::npos);
    CHECK(gateway.call(withHeaders("refused", key + "k1\r\n")).status == 503);
    CHECK(fixture.runs.runs("refused") == 0);
    CHECK(gateway.call(withHeaders("open", "", "/open/x")).status == 200);
    put(configurationWith(4, R"({"one":{"api_keys":["k5"]}})"));
    CHECK(eventually([&] { return gateway.call(withHeaders("again", key + "k5\r\n")).status == 200; }));
    CHECK(gateway.call(withHeaders("revoked", key + "k1\r\n")).status == 401);
}

// Guards against a key that works for longer than allowed at a gateway which can't hear of its revocation.
TEST_CASE("A gateway whose configuration was not confirmed for too long refuses keys, is not ready, and serves public routes")
{
    GatewayFixture fixture(1);
    fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(2, twoTenants)); });
    auto settings = RunningGateway::settings(fixture.storeAddress(), {}, "127.0.0.1:0", Common::LogFormat::Off);
    settings.revokeMs = 3000;
    RunningGateway gateway(settings);
    REQUIRE(gateway.waitReady());
    CHECK(gateway.call(withHeaders("fresh", key + "k1\r\n")).status == 200);
    fixture.thread.call([&] { fixture.store->setMode(PlatformStandIn::StoreMode::Busy); });
    REQUIRE(eventually([&] { return RunningGateway::get(gateway.daemon().readyAddress(), Names::readyPath).status == 503; }));
    auto refused = gateway.call(withHeaders("outdated", key + "k1\r\n"));
    CHECK(refused.status == 503);
    CHECK(Net::findHeader(refused.headers, "Retry-After"));
    CHECK(fixture.runs.runs("outdated") == 0);
    CHECK(gateway.call(withHeaders("unknown", key + "k4\r\n")).status == 503);
    CHECK(gateway.call(withHeaders("open", "", "/open/x")).status == 200);
    fixture.thread.call([&] { fixture.store->setMode(PlatformStandIn::StoreMode::Serving); });
    CHECK(eventually([&] { return gateway.call(withHeaders("again", key + "k1\r\n")).status == 200; }));
}

namespace {

struct WaitingCase {
    std::string what;
    std::string tenants; // of the configuration that arrives while the request waits
    std::string organisation; // that the server is told
    int status;
    bool isForwarded; // by another gateway, which has not authenticated the caller
};

const WaitingCase waitingCases[] = {
    { "its key is revoked", R"({"one":{"api_keys":["k2"]}})", "", 401, false },
    { "its key moves to another organisation", R"({"one":{"api_keys":["k2"]},"two":{"api_keys":["k1"]}})", "two", 200, false },
    { "its key stays", R"({"one":{"api_keys":["k1"]}})", "one", 200, false },
    { "forwarded, its key is revoked", R"({"one":{"api_keys":["k2"]}})", "", 401, true },
    { "forwarded, its key moves to another organisation", R"({"one":{"api_keys":["k2"]},"two":{"api_keys":["k1"]}})", "two", 200, true },
};

}

// Guards against requests that run with a key that was revoked while they waited, or for an organisation that no longer holds it.
TEST_CASE("A request that waits for a server is authenticated again when the configuration changes")
{
    // The answer to a load probe takes 1.6 s here, and 160 ms by the gateway's clock, so that the configuration arrives before it.
    constexpr auto pieceDelay = std::chrono::milliseconds(800);
    const int clockFactor = 10;
    auto hooks = Common::systemHooks();
    auto slowFrom = std::make_shared<std::atomic<Common::TimePoint>>(Common::TimePoint::max());
    hooks.now = [system = hooks.now, slowFrom, clockFactor]() -> Common::TimePoint {
        auto now = system();
        auto from = slowFrom->load();
        return now <= from ? now : from + (now - from) / clockFactor;
    };
    GatewayFixture fixture(1);
    std::unique_ptr<Soak::FaultProxy> proxy;
    fixture.thread.call([&] {
        proxy = std::make_unique<Soak::FaultProxy>(fixture.thread.loop(), fixture.servers[0]->address());
        proxy->setDelay(pieceDelay);
        auto value = fixture.servers[0]->registryValue();
        value.replace(value.find(fixture.servers[0]->address()), fixture.servers[0]->address().size(), proxy->address());
        fixture.store->put(Names::registryTable, "server-1", value);
        fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(2, twoTenants));
    });
    {
        auto settings = RunningGateway::settings(fixture.storeAddress(), {}, "127.0.0.1:0", Common::LogFormat::Off);
        // Above all ages that the configuration reaches here, or an unknown key is answered with 503.
        settings.applyMs = 4500;
        // With few load probes the request would be sent at once, by what is known.
        settings.probesPerServer = 10'000;
        RunningGateway gateway(settings, -1, hooks);
        REQUIRE(gateway.waitReady());
        int version = 2;
        auto apply = [&](const std::string& tenants) {
            ++version;
            fixture.thread.call([&] { fixture.store->put(Names::operatorTable, Names::configurationKey, configurationWith(version, tenants)); });
            return eventually([&] { return Fleet::metric(gateway, "configuration_version") == version; });
        };
        // From then on it waits at the store for the next configuration.
        REQUIRE(eventually([&] { return Fleet::metric(gateway, "reading_store") == 1; }));
        REQUIRE(apply(twoTenants));
        REQUIRE(apply(twoTenants));
        slowFrom->store(std::chrono::steady_clock::now());
        for (const auto& row : waitingCases) {
            CAPTURE(row.what);
            REQUIRE(apply(twoTenants));
            // Opens a connection, so that the next load probe is a single piece.
            REQUIRE(gateway.call(withHeaders("warm", key + "k2\r\n")).status == 200);
            fixture.thread.call([&] { proxy->setMode(Soak::ProxyMode::Delay); });
            auto sent = Fleet::metric(gateway, "sends_total");
            auto id = "waiting" + std::to_string(version);
            CallerConnection caller(row.isForwarded ? gateway.daemon().forwardingAddress() : gateway.daemon().callersAddress());
            auto headers = row.isForwarded ? std::string(Gateway::forwardedHeader) + ": unauthenticated;configuration=2\r\n" : std::string();
            caller.send(withHeaders(id, headers.append(key).append("k1\r\n")));
            // It has been authenticated and has sent its load probe.
            REQUIRE(eventually([&] { return Fleet::metric(gateway, "requests_in_flight") == 1; }));
            REQUIRE(apply(row.tenants));
            // It has waited until here, or the test shows nothing.
            CHECK(Fleet::metric(gateway, "sends_total") == sent);
            auto response = caller.receive();
            CHECK(response.status == row.status);
            CHECK(!Net::findHeader(response.headers, Names::notExecuted));
            fixture.thread.call([&] { proxy->setMode(Soak::ProxyMode::Pass); });
            CHECK(fixture.runs.runs(id) == (row.status == 200 ? 1 : 0));
            auto lastHeaders = fixture.thread.call([&] { return fixture.servers[0]->lastHeaders(); });
            if (row.status == 200)
                CHECK(std::string(Net::findHeader(lastHeaders, Names::organisation).value_or("")) == row.organisation);
            CHECK(!Net::findHeader(lastHeaders, Names::apiKey));
        }
    }
    fixture.thread.call([&] { proxy.reset(); });
}
