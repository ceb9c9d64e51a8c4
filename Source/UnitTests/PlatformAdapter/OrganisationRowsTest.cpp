#include "platform/Rows.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

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
    { "empty key", R"({"one":{"api_keys":[""]}})", "'one'" },
    { "one key at two tenants", R"({"one":{"api_keys":["k"]},"two":{"api_keys":["k"]}})", "'two'" },
    { "negative rate", R"({"one":{"api_keys":["k"],"rate_per_s":-1}})", "one: rate_per_s" },
    { "rate that is no number", R"({"one":{"api_keys":["k"],"rate_per_s":"5"}})", "one: rate_per_s" },
    { "burst without a rate", R"({"one":{"api_keys":["k"],"burst":5}})", "one: burst" },
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
