#include "Settings/GatewaySettings.h"

#include <doctest/doctest.h>

namespace {

using Settings::GatewaySettings;

// Settings with some lines added to their tables.
std::optional<GatewaySettings> parse(const std::string& gateway, const std::string& store, const std::string& bounds, std::vector<Common::FileError>& errors)
{
    return Settings::parseGatewaySettings("[gateway]\nnode = \"n\"\nfailure_domain = \"a\"\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n"
                                          "directory = \"127.0.0.1:3\"\ncontrol = \"127.0.0.1:4\"\n"
            + gateway + "\n[store]\naddress = \"127.0.0.1:5\"\n" + store + "\n[bounds]\n" + bounds + "\n",
        "settings.toml", errors);
}

struct TimeCase {
    std::string gateway;
    std::string store;
    std::string bounds;
    int graceMs;
    int applyMs;
    int drainMs;
    int heartbeatMs;
    double retrySlack;
    int retryWindowMs;
};

const TimeCase timeCases[] = {
    { "", "", "", 6000, 2000, 2000, 1500, 75, 10000 },
    { "grace_ms = 3000\napply_ms = 500", "server_heartbeat_ms = 700", "retry_slack = 10\nretry_window_ms = 400",
        3000, 500, 500, 700, 10, 400 },
    { "grace_s = 6.5\napply_ms = 2000.4\ndrain_s = 1.2", "server_heartbeat_ms = 1500.0", "retry_slack = 28.4\nretry_window_s = 2.5",
        6500, 2000, 1200, 1500, 28.4, 2500 },
};

}

// The platform's bounds are whole numbers or fractions: a gateway with a fractional one did not start.
TEST_CASE("Times and bounds of a gateway may have fractions, and be in seconds")
{
    for (const auto& row : timeCases) {
        CAPTURE(row.gateway);
        std::vector<Common::FileError> errors;
        auto settings = parse(row.gateway, row.store, row.bounds, errors);
        REQUIRE(settings);
        CHECK(settings->graceMs == row.graceMs);
        CHECK(settings->applyMs == row.applyMs);
        CHECK(settings->drainMs == row.drainMs);
        CHECK(settings->serverHeartbeatMs == row.heartbeatMs);
        CHECK(settings->retrySlack == row.retrySlack);
        CHECK(settings->retryWindowMs == row.retryWindowMs);
    }
}

TEST_CASE("Invalid times of a gateway are errors that name the key")
{
    for (const std::string line : { "grace_s = \"6\"", "grace_s = -1", "grace_s = 0", "grace_s = 6\ngrace_ms = 6000", "grace_ms = 1e99", "grace = 6" }) {
        CAPTURE(line);
        std::vector<Common::FileError> errors;
        CHECK(!parse(line, "", "", errors));
        REQUIRE(!errors.empty());
        CHECK(errors.front().key.find("gateway.grace") == 0);
    }
}

TEST_CASE("An invalid address of a gateway's outgoing connections is an error that names the key")
{
    for (const std::string line : { "backend_source = \"127.0.0.1:80\"", "backend_source = \"servers.example\"", "backend_source = 5" }) {
        CAPTURE(line);
        std::vector<Common::FileError> errors;
        CHECK(!parse(line, "", "", errors));
        REQUIRE(!errors.empty());
        CHECK(errors.front().key == "gateway.backend_source");
    }
}

TEST_CASE("Memory limits of a gateway have defaults and bounds")
{
    std::vector<Common::FileError> errors;
    auto settings = parse("", "", "", errors);
    REQUIRE(settings);
    CHECK(settings->memoryMb == 512);
    CHECK(settings->bufferShare == 0.2);
    settings = parse("memory_mb = 217.5\nbuffer_share = 0.1", "", "", errors);
    REQUIRE(settings);
    CHECK(settings->memoryMb == 217.5);
    CHECK(settings->bufferShare == 0.1);
    // Small machines and platforms without a limit.
    for (const auto& [line, memoryMb] : { std::pair("memory_mb = 0", 0.0), std::pair("memory_mb = 8", 8.0) }) {
        settings = parse(line, "", "", errors);
        REQUIRE(settings);
        CHECK(settings->memoryMb == memoryMb);
    }
    for (const std::string line : { "memory_mb = -1", "memory_mb = \"217\"", "buffer_share = 0", "buffer_share = 0.9" }) {
        CAPTURE(line);
        errors.clear();
        CHECK(!parse(line, "", "", errors));
        REQUIRE(!errors.empty());
        CHECK(errors.front().key == "gateway." + line.substr(0, line.find(' ')));
    }
}

// Guards against a share that hedging can never use: hedged attempts take from the retry budget as well.
TEST_CASE("The share of hedged attempts is off by default and at most the ratio of retries")
{
    struct {
        std::string lines; // at the end of [bounds]
        std::optional<double> share; // nullopt: an error
    } const rows[] = {
        { "", 0 },
        { "[hedging]\nextra_share = 0.02", 0.02 },
        { "retry_ratio = 0.1\n[hedging]\nextra_share = 0.1", 0.1 },
        { "retry_ratio = 0.1\n[hedging]\nextra_share = 0.11", std::nullopt },
        { "[hedging]\nextra_share = -0.1", std::nullopt },
        { "[hedging]\nextra_share = \"2%\"", std::nullopt },
    };
    for (const auto& row : rows) {
        CAPTURE(row.lines);
        std::vector<Common::FileError> errors;
        auto settings = parse("", "", row.lines, errors);
        REQUIRE(settings.has_value() == row.share.has_value());
        if (settings) {
            CHECK(settings->hedgeShare == *row.share);
        } else {
            REQUIRE(!errors.empty());
            CHECK(errors.front().key == "hedging.extra_share");
        }
    }
}
