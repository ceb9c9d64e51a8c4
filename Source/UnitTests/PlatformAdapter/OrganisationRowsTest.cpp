#include "platform/Rows.h"

#include <algorithm>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Gateway/CatalogParts.h"
#include "platform/Binding.h"

namespace {

using Gateway::ErrorScope;

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
    std::vector<std::string> keys; // that work
    bool isUsable = true;
};

const BadTenants badTenants[] = {
    { "no object", R"([])", "tenants", {}, false },
    { "no keys", R"({"one":{},"two":{"api_keys":["k"]}})", "one: missing field api_keys", { "k" } },
    { "keys that are no list", R"({"one":{"api_keys":"k1"},"two":{"api_keys":["k"]}})", "one: api_keys", { "k" } },
    { "key that is no string", R"({"one":{"api_keys":[7,"k"]}})", "one: api_keys", { "k" } },
    { "empty key", R"({"one":{"api_keys":["","k"]}})", "tenants.one: API key 1 of 2 has 0 bytes", { "k" } },
    { "huge key", R"({"one":{"api_keys":["k",")" + std::string(257, 'k') + R"("]}})", "tenants.one: API key 2 of 2 has 257 bytes", { "k" } },
    { "one key at two tenants", R"({"one":{"api_keys":["k"]},"two":{"api_keys":["k","k2"]}})", "tenants.two: API key 1 of 2 is listed twice, here and at 'one'", { "k", "k2" } },
    { "names that differ only in case", R"({"One":{"api_keys":["k1"]},"one":{"api_keys":["k2"]}})", "tenants.one: its name differs only in case from 'One'", { "k1", "k2" } },
    { "negative rate", R"({"one":{"api_keys":["k"],"rate_per_s":-1}})", "one: rate_per_s", { "k" } },
    { "rate that is no number", R"({"one":{"api_keys":["k"],"rate_per_s":"5"}})", "one: rate_per_s", { "k" } },
    { "negative burst", R"({"one":{"api_keys":["k"],"burst":-5}})", "one: burst", { "k" } },
    { "priority that is no integer", R"({"one":{"api_keys":["k"],"priority":1.5}})", "one: priority", { "k" } },
    { "tenant that is no object", R"({"one":7,"two":{"api_keys":["k"]}})", "one: must be an object", { "k" } },
};

struct LimitCase {
    std::string what;
    std::string fields;
    double ratePerSecond;
    bool hasAllowance;
};

// LATER.md, "New on the wire": 0 or omitted means no limit.
const LimitCase limitCases[] = {
    { "rate and burst", R"("rate_per_s":250,"burst":50)", 250, true },
    { "rate alone", R"("rate_per_s":250)", 250, true },
    { "fractional rate", R"("rate_per_s":0.5,"burst":5)", 0.5, true },
    { "neither", R"("priority":1)", 0, false },
    { "both 0", R"("rate_per_s":0,"burst":0)", 0, false },
    { "rate 0 beside a burst", R"("rate_per_s":0,"burst":250)", 0, false },
    { "rate 0.0 beside a burst", R"("rate_per_s":0.0,"burst":250)", 0, false },
    { "burst alone", R"("burst":250)", 0, false },
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

TEST_CASE("An invalid field of a tenant is an error that names the tenant, and all other fields and tenants are read")
{
    for (const auto& row : badTenants) {
        CAPTURE(row.what);
        auto reading = PlatformAdapter::readConfiguration(configuration(row.tenants), 1);
        CHECK(reading.isUsable() == row.isUsable);
        REQUIRE(reading.errors.size() == 1);
        CHECK(reading.errorText().find(row.error) != std::string::npos);
        CHECK(reading.configuration.organisations.keyCount() == row.keys.size());
        for (const auto& key : row.keys)
            CHECK(reading.configuration.organisations.find(key));
    }
}

// Guards against a configuration that is refused whole, since it lifts a limit by a rate of 0 and leaves the burst.
TEST_CASE("Every limit of a tenant that the store accepts is read; without a rate there is none")
{
    for (const auto& row : limitCases) {
        CAPTURE(row.what);
        auto reading = PlatformAdapter::readConfiguration(configuration(R"({"one":{"api_keys":["k"],)" + row.fields + "}}"), 1);
        CHECK(reading.errors.empty());
        REQUIRE(reading.configuration.organisations.find("k"));
        CHECK(reading.configuration.organisations.find("k")->ratePerSecond == row.ratePerSecond);
        CHECK(reading.configuration.organisations.find("k")->hasAllowance() == row.hasAllowance);
    }
}

namespace {

// The cause of the last event of the kind; empty if there is none.
std::string lastCause(const UnitTests::CatalogParts& gateway, Common::EventId id)
{
    std::string cause;
    for (const auto& event : gateway.log.since(0)) {
        if (event.id == id)
            cause = event.fields.back().value;
    }
    return cause;
}

void applyConfiguration(UnitTests::CatalogParts& gateway, const Gateway::CatalogDecoder& decoder, std::uint64_t version, std::string value)
{
    if (auto i = value.find("00000007"); i != std::string::npos)
        value.replace(i, 8, fmt::format("{:08x}", version));
    gateway.catalog.applyChanges(decoder.operatorTable, { { .table = decoder.operatorTable, .key = decoder.configurationKey, .value = value, .version = version } }, version);
}

}

// Guards against an invalid field that keeps the rest of a confirmed configuration out, with the keys that it takes away and adds.
TEST_CASE("A configuration with invalid fields is in force without them, and a log line names the first; an unusable one changes nothing")
{
    for (const auto& row : badTenants) {
        CAPTURE(row.what);
        auto decoder = PlatformAdapter::binding().decoder;
        UnitTests::CatalogParts gateway(decoder);
        applyConfiguration(gateway, decoder, 7, configuration(R"({"good":{"api_keys":["good-key"]}})"));
        applyConfiguration(gateway, decoder, 8, configuration(row.tenants));
        REQUIRE(gateway.router.configuration());
        const auto& inForce = *gateway.router.configuration();
        CHECK(inForce.version == (row.isUsable ? 8 : 7));
        CHECK(static_cast<bool>(inForce.organisations.find("good-key")) == !row.isUsable);
        CHECK(inForce.organisations.keyCount() == (row.isUsable ? row.keys.size() : 1));
        CHECK(lastCause(gateway, row.isUsable ? Common::EventId::ConfigurationIncomplete : Common::EventId::ConfigurationRejected).find(row.error) != std::string::npos);
        applyConfiguration(gateway, decoder, 9, configuration(R"({"good":{"api_keys":["other-key"]}})"));
        CHECK(gateway.router.configuration()->version == 9);
    }
}

namespace {

struct EntryCase {
    std::string what;
    std::string routeField;
    std::string serviceField;
    std::string error;
    ErrorScope scope;
    int routes = 1;
    bool isRouteUsable = true;
};

const EntryCase entryCases[] = {
    { "time limit that is no number", R"(,"timeout_ms":"x")", "", "routes.r: timeout_ms", ErrorScope::Field },
    { "negative goal", R"(,"target_latency_ms":-1)", "", "routes.r: target_latency_ms", ErrorScope::Field },
    { "fractional number of attempts", R"(,"max_attempts":1.5)", "", "routes.r: max_attempts", ErrorScope::Field },
    { "public that is no boolean", R"(,"public":1)", "", "routes.r: public", ErrorScope::Field },
    { "kind that is no string", R"(,"route_type":1)", "", "routes.r: route_type", ErrorScope::Field },
    { "service that is no string", R"(,"service":1)", "", "routes.r: service", ErrorScope::Entry, 1, false },
    { "no host", R"(,"host":"")", "", "routes.r: host", ErrorScope::Entry, 0 },
    { "no prefix", R"(,"prefix":null)", "", "routes.r: prefix", ErrorScope::Entry, 0 },
    { "path that is no string", "", R"(,"health_path":1)", "services.s: health_path", ErrorScope::Field },
    { "negative number of connections", "", R"(,"max_connections":-1)", "services.s: max_connections", ErrorScope::Field },
    { "warm-up rate that is no number", "", R"(,"warmup_per_s":"x")", "services.s: warmup_per_s", ErrorScope::Field },
};

}

// Guards against an invalid field of a route or service that keeps keys in use which the same configuration takes away. A default of 0 would end every request at
// once, and a route that is left out sends its requests where another one goes.
TEST_CASE("An invalid field of a route or service counts as its default, and a route without services stays")
{
    const Gateway::Route defaults;
    for (const auto& row : entryCases) {
        CAPTURE(row.what);
        auto reading = PlatformAdapter::readConfiguration(configuration(R"({"one":{"api_keys":["k"]}})", row.routeField, row.serviceField), 1);
        CHECK(reading.isUsable());
        REQUIRE(reading.errors.size() == 1);
        CHECK(reading.errors[0].scope == row.scope);
        CHECK(reading.errorText().find(row.error) != std::string::npos);
        const auto& read = reading.configuration;
        CHECK(read.organisations.find("k"));
        REQUIRE(read.services.contains("s"));
        CHECK(read.services.at("s").maxConnections > 0);
        CHECK(!read.services.at("s").healthPath.empty());
        REQUIRE(read.routes.size() == static_cast<std::size_t>(row.routes));
        if (row.routes == 0)
            continue;
        const auto& route = read.routes[0];
        CHECK(route.isUsable == row.isRouteUsable);
        CHECK(route.parts.size() == (row.isRouteUsable ? 1 : 0));
        CHECK(route.repeat == Records::Repeat::Never);
        CHECK(!route.isPublic);
        CHECK((route.timeout == defaults.timeout || route.timeout == std::chrono::seconds(1)));
        CHECK((route.goal == defaults.goal || route.goal == std::chrono::milliseconds(300)));
        CHECK(route.maxAttempts >= 1);
    }
}

// Guards against keys that work on although the store confirmed a configuration without them: the one in force is older.
TEST_CASE("While the newest configuration can't be used, the age of the one in force grows, whoever told it")
{
    using std::chrono::seconds;
    auto decoder = PlatformAdapter::binding().decoder;
    for (auto isFromStore : { true, false }) {
        CAPTURE(isFromStore);
        UnitTests::CatalogParts gateway(decoder);
        auto now = Common::bootTime(gateway.loop.hooks());
        applyConfiguration(gateway, decoder, 7, configuration(R"({"good":{"api_keys":["good-key"]}})"));
        gateway.catalog.confirmConfiguration(now - seconds(3));
        REQUIRE(gateway.catalog.configurationAge() == Common::Duration(seconds(3)));
        Gateway::CatalogUpdate update { .position = { .registry = 0, .operators = 8 },
            .configurationAge = Common::Duration(seconds(1)),
            .rows = { { .table = decoder.operatorTable, .key = decoder.configurationKey, .value = "{", .version = 8 } } };
        if (isFromStore) {
            applyConfiguration(gateway, decoder, 8, "{");
            gateway.catalog.confirmConfiguration(now - seconds(1));
        } else {
            CHECK(gateway.catalog.apply(update));
            update.rows.clear();
            CHECK(gateway.catalog.apply(update));
        }
        CHECK(gateway.catalog.configurationAge() == Common::Duration(seconds(3)));
        CHECK(gateway.catalog.changesSince({}).configurationAge == Common::Duration(seconds(3)));
        applyConfiguration(gateway, decoder, 9, configuration(R"({"good":{"api_keys":["other-key"]}})"));
        gateway.catalog.confirmConfiguration(now);
        CHECK(gateway.catalog.configurationAge() == Common::Duration::zero());
    }
}

namespace {

struct ManyErrors {
    std::string what;
    std::string text;
    std::vector<std::string> errors; // "entry: text" each, in this order
    bool isUsable = false;
};

const std::string limits = R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":500,"idle_timeout_ms":15000})";

const ManyErrors manyErrors[] = {
    { "no JSON", "{", { ": expected a JSON object, found an error at line 1, column 2: Missing '}' or object member name" } },
    { "a list", "[]", { ": expected a JSON object" } },
    { "an empty object", "{}", { ": missing field version", "routes: missing field routes", "services: missing field services", ": missing field limits" } },
    { "version that is no number, routes that are a list", R"({"version":"x","routes":[],"services":{},)" + limits + "}",
        { ": version must be a hexadecimal number of at most 64 bits", "routes: routes must be an object" } },
    { "several fields of a route", R"({"version":"1","routes":{"r":{"host":"","prefix":"/","route_type":"safe","timeout_ms":-1,"target_latency_ms":1,"priority":0.5,"max_attempts":1}},"services":{},)" + limits + "}",
        { "routes.r: missing field backends", "routes.r: host must be a non-empty string", "routes.r: timeout_ms must be a number from 0 to 1e12", "routes.r: priority must be an integer of at least 0" }, true },
    { "parts that are no objects", R"({"version":"1","routes":{"r":{"host":"h","prefix":"/","route_type":"safe","timeout_ms":1,"target_latency_ms":1,"priority":0,"max_attempts":1,"backends":[1]}},"services":{},)" + limits + "}",
        { "routes.r: backends must be objects" }, true },
    { "entries that are no objects", R"({"version":"1","routes":{"r":1},"services":{"s":[]},"tenants":{"t":"x"},)" + limits + "}",
        { "routes.r: must be an object", "services.s: must be an object", "tenants.t: must be an object" }, true },
    { "services and limits", R"({"version":"1","routes":{},"services":{"s":{"health_path":"/h","max_connections":1.5,"warmup_per_s":-1},"t":{}},"limits":{"max_header_bytes":"1","max_body_bytes":1,"header_timeout_ms":1}})",
        { "services.s: max_connections must be an integer of at least 0", "services.s: warmup_per_s must be a number from 0 to 1e12", "services.t: missing field health_path", "services.t: missing field max_connections",
            "limits: max_header_bytes must be a number from 0 to 1e12", "limits: missing field idle_timeout_ms" },
        true },
    { "organisations: of their fields, then of their keys and names", configuration(R"({"One":{"api_keys":["k","k"],"rate_per_s":1.5,"burst":-1},"one":{"api_keys":["","k",""],"burst":3}})"),
        { "tenants.One: burst must be a number from 0 to 1e12",
            "tenants.One: API key 2 of 2 is listed twice, here and at 'One'", "tenants.one: its name differs only in case from 'One'",
            "tenants.one: API key 1 of 3 has 0 bytes or characters that are not visible ASCII, expected 1 to 256 visible ones", "tenants.one: API key 2 of 3 is listed twice, here and at 'One'" },
        true },
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
        // What a gateway logs: the first error that makes the configuration unusable, if there is one.
        auto parsed = PlatformAdapter::parseConfiguration(row.text);
        CHECK(parsed.has_value() == row.isUsable);
        auto it = std::find_if(reading.errors.begin(), reading.errors.end(), [&](const auto& error) { return row.isUsable || error.scope == ErrorScope::Configuration; });
        REQUIRE(it != reading.errors.end());
        auto text = it->entry.empty() ? it->text : it->entry + ": " + it->text;
        CHECK(reading.errorText() == (row.errors.size() == 1 ? text : fmt::format("{}; {} more in this configuration", text, row.errors.size() - 1)));
        if (!parsed)
            CHECK(parsed.error().text == reading.errorText());
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
