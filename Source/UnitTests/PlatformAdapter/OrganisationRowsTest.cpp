#include "platform/Rows.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Gateway/CatalogParts.h"
#include "platform/Binding.h"

namespace {

std::string configuration(const std::string& tenants, const std::string& routeField = {}, const std::string& serviceField = {})
{
    return fmt::format(
        R"({{"version":"00000007","routes":{{"r":{{"host":"h","prefix":"/a/","route_type":"upload","timeout_ms":1000,"target_latency_ms":300,"priority":1,"service":"s","max_attempts":2{}}}}},)"
        R"("services":{{"s":{{"health_path":"/health","max_connections":300{}}}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":500,"idle_timeout_ms":15000}}{}}})",
        routeField, serviceField, tenants.empty() ? "" : ",\"tenants\":" + tenants);
}

struct BadTenants {
    std::string what;
    std::string tenants;
    std::string error; // a part of it
};

const BadTenants badTenants[] = {
    { "no object", R"([])", "tenants" },
    { "no keys", R"({"one":{}})", "one: missing field api_keys" },
    { "keys that are no list", R"({"one":{"api_keys":"k"}})", "one: api_keys" },
    { "key that is no string", R"({"one":{"api_keys":[7]}})", "one: api_keys" },
    { "empty key", R"({"one":{"api_keys":[""]}})", "tenants.one: API key 1 of 1 has 0 bytes" },
    { "huge key", R"({"one":{"api_keys":["k",")" + std::string(257, 'k') + R"("]}})", "tenants.one: API key 2 of 2 has 257 bytes" },
    { "one key at two tenants", R"({"one":{"api_keys":["k"]},"two":{"api_keys":["k"]}})", "tenants.two: API key 1 of 1 is listed twice, here and at 'one'" },
    { "names that differ only in case", R"({"One":{"api_keys":["k1"]},"one":{"api_keys":["k2"]}})", "tenants.one: its name differs only in case from 'One'" },
    { "negative rate", R"({"one":{"api_keys":["k"],"rate_per_s":-1}})", "one: rate_per_s" },
    { "fractional rate", R"({"one":{"api_keys":["k"],"rate_per_s":2.5}})", "one: rate_per_s must be a whole number" },
    { "rate that is no number", R"({"one":{"api_keys":["k"],"rate_per_s":"5"}})", "one: rate_per_s" },
    { "burst without a rate", R"({"one":{"api_keys":["k"],"burst":5}})", "one: burst" },
    { "burst with a rate of 0.0", R"({"one":{"api_keys":["k"],"rate_per_s":0.0,"burst":5}})", "one: burst" },
    { "priority that is no integer", R"({"one":{"api_keys":["k"],"priority":1.5}})", "one: priority" },
};

}

TEST_CASE("A configuration's tenants, public routes and warm-up rates are read")
{
    auto parsed = PlatformAdapter::parseConfiguration(configuration(
        R"({"one":{"api_keys":["k1","k2"],"priority":0,"rate_per_s":250,"burst":50},"two":{"api_keys":["k3"]}})", R"(,"public":true)", R"(,"warmup_s":3.0,"warmup_per_s":3.9)"));
    REQUIRE(parsed);
    const auto& all = parsed.value();
    CHECK(all.routes[0].isPublic);
    CHECK(all.routes[0].repeat == Records::Repeat::Never);
    CHECK(all.routes[0].unknownKind.empty());
    CHECK(all.services.at("s").warmupPerSecond == 3.9);
    REQUIRE(all.organisations.find("k2"));
    CHECK(*all.organisations.find("k2") == Gateway::Organisation { .name = "one", .priority = 0, .ratePerSecond = 250, .burst = 50 });
    CHECK(*all.organisations.find("k3") == Gateway::Organisation { .name = "two", .priority = {} });
    CHECK(!all.organisations.find("k4"));
    CHECK(all.organisations.named("two"));
    CHECK(!all.organisations.named("Two"));
}

TEST_CASE("A configuration without tenants asks for no keys")
{
    auto parsed = PlatformAdapter::parseConfiguration(configuration({}));
    REQUIRE(parsed);
    CHECK(parsed.value().organisations.empty());
    CHECK(!parsed.value().routes[0].isPublic);
    CHECK(parsed.value().services.at("s").warmupPerSecond == 0);
}

TEST_CASE("Invalid tenants are an error that names the tenant")
{
    for (const auto& row : badTenants) {
        CAPTURE(row.what);
        auto parsed = PlatformAdapter::parseConfiguration(configuration(row.tenants));
        REQUIRE(!parsed);
        CHECK(parsed.error().text.find(row.error) != std::string::npos);
    }
}

// Guards against a gateway that drops its configuration, or takes over a part of an invalid one.
TEST_CASE("An invalid configuration is rejected with a log line that names its entry, the last good one stays in force, and a later good one is applied")
{
    for (const auto& row : badTenants) {
        CAPTURE(row.what);
        auto decoder = PlatformAdapter::binding().decoder;
        UnitTests::CatalogParts gateway(decoder);
        auto apply = [&](std::uint64_t version, std::string value) {
            value.replace(value.find("00000007"), 8, fmt::format("{:08x}", version));
            gateway.catalog.applyChanges(decoder.operatorTable, { { .table = decoder.operatorTable, .key = decoder.configurationKey, .value = value, .version = version } }, version);
        };
        apply(7, configuration(R"({"good":{"api_keys":["good-key"]}})"));
        apply(8, configuration(row.tenants));
        REQUIRE(gateway.router.configuration());
        CHECK(gateway.router.configuration()->version == 7);
        CHECK(gateway.router.configuration()->organisations.find("good-key"));
        CHECK(gateway.router.configuration()->organisations.keyCount() == 1);
        std::string cause;
        for (const auto& event : gateway.log.since(0)) {
            if (event.id == Common::EventId::ConfigurationRejected)
                cause = event.fields.back().value;
        }
        CHECK(cause.find(row.error) != std::string::npos);
        apply(9, configuration(R"({"good":{"api_keys":["other-key"]}})"));
        CHECK(gateway.router.configuration()->version == 9);
    }
}

namespace {

struct ManyErrors {
    std::string what;
    std::string text;
    std::vector<std::string> errors; // "entry: text" each, in this order
};

const std::string limits = R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":500,"idle_timeout_ms":15000})";

const ManyErrors manyErrors[] = {
    { "no JSON", "{", { ": expected a JSON object, found an error at line 1, column 2: Missing '}' or object member name" } },
    { "a list", "[]", { ": expected a JSON object" } },
    { "an empty object", "{}", { ": missing field version", "routes: missing field routes", "services: missing field services", ": missing field limits" } },
    { "version that is no number, routes that are a list", R"({"version":"x","routes":[],"services":{},)" + limits + "}",
        { ": version must be a hexadecimal number of at most 64 bits", "routes: routes must be an object" } },
    { "several fields of a route", R"({"version":"1","routes":{"r":{"host":"","prefix":"/","route_type":"safe","timeout_ms":-1,"target_latency_ms":1,"priority":0.5,"max_attempts":1}},"services":{},)" + limits + "}",
        { "routes.r: missing field backends", "routes.r: host must be a non-empty string", "routes.r: timeout_ms must be a number from 0 to 1e12", "routes.r: priority must be an integer of at least 0" } },
    { "parts that are no objects", R"({"version":"1","routes":{"r":{"host":"h","prefix":"/","route_type":"safe","timeout_ms":1,"target_latency_ms":1,"priority":0,"max_attempts":1,"backends":[1]}},"services":{},)" + limits + "}",
        { "routes.r: backends must be objects" } },
    { "entries that are no objects", R"({"version":"1","routes":{"r":1},"services":{"s":[]},"tenants":{"t":"x"},)" + limits + "}",
        { "routes.r: must be an object", "services.s: must be an object", "tenants.t: must be an object" } },
    { "services and limits", R"({"version":"1","routes":{},"services":{"s":{"health_path":"/h","max_connections":1.5,"warmup_per_s":-1},"t":{}},"limits":{"max_header_bytes":"1","max_body_bytes":1,"header_timeout_ms":1}})",
        { "services.s: max_connections must be an integer of at least 0", "services.s: warmup_per_s must be a number from 0 to 1e12", "services.t: missing field health_path", "services.t: missing field max_connections",
            "limits: max_header_bytes must be a number from 0 to 1e12", "limits: missing field idle_timeout_ms" } },
    { "organisations: of their fields, then of their keys and names", configuration(R"({"One":{"api_keys":["k","k"],"rate_per_s":1.5,"burst":-1},"one":{"api_keys":["","k",""],"burst":3}})"),
        { "tenants.One: burst must be a number from 0 to 1e12", "tenants.One: rate_per_s must be a whole number", "tenants.one: burst must come with a rate_per_s above 0",
            "tenants.One: API key 2 of 2 is listed twice, here and at 'One'", "tenants.one: its name differs only in case from 'One'",
            "tenants.one: API key 1 of 3 has 0 bytes or characters that are not visible ASCII, expected 1 to 256 visible ones", "tenants.one: API key 2 of 3 is listed twice, here and at 'One'" } },
};

}

// Guards against operators who mend one error to see the next.
TEST_CASE("All errors of a configuration are found that do not depend on each other")
{
    for (const auto& row : manyErrors) {
        CAPTURE(row.what);
        auto reading = PlatformAdapter::readConfiguration(row.text, 1);
        std::vector<std::string> errors;
        for (const auto& error : reading.errors)
            errors.push_back(error.entry + ": " + error.text);
        CHECK(errors == row.errors);
        // What a gateway logs.
        auto parsed = PlatformAdapter::parseConfiguration(row.text);
        REQUIRE(!parsed);
        auto first = row.errors.front().starts_with(": ") ? row.errors.front().substr(2) : row.errors.front();
        CHECK(parsed.error().text == (row.errors.size() == 1 ? first : fmt::format("{}; {} more in this configuration", first, row.errors.size() - 1)));
    }
}

// Guards against configurations that were accepted before the time was read.
TEST_CASE("A warm-up time that is no time counts as absent")
{
    for (const auto* time : { R"("soon")", "-1", "0", "null", "[]", "1e300" }) {
        CAPTURE(time);
        auto parsed = PlatformAdapter::parseConfiguration(configuration({}, {}, fmt::format(R"(,"warmup_s":{})", time)));
        REQUIRE(parsed);
        CHECK(parsed.value().services.at("s").warmupTime == Common::Duration::zero());
    }
    CHECK(PlatformAdapter::parseConfiguration(configuration({}, {}, R"(,"warmup_s":3.5)")).value().services.at("s").warmupTime == std::chrono::milliseconds(3500));
}
