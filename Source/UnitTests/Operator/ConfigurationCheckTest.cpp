#include "Operator/ConfigurationCheck.h"

#include <functional>
#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "Net/HttpMessage.h"
#include "platform/Rows.h"

namespace {

using Gateway::Configuration;
using Operator::EntryChange;
using Operator::FindingLevel;

constexpr std::uint64_t seed = 7;

const Gateway::ConfigurationNames& names = PlatformAdapter::configurationNames();

// A configuration without findings, for rows to change.
Configuration soundConfiguration()
{
    Configuration configuration;
    configuration.version = 42;
    configuration.routes = {
        { .name = "a", .host = "h", .prefix = "/a/", .repeat = Records::Repeat::Safe, .kind = "safe", .maxAttempts = 3, .parts = { { .service = "s" } } },
        { .name = "b", .host = "h", .prefix = "/b/", .repeat = Records::Repeat::Never, .kind = "unsafe", .parts = { { .service = "s", .weight = 9 }, { .service = "t", .weight = 1 } } },
    };
    configuration.services = { { "s", { .name = "s" } }, { "t", { .name = "t", .warmupTime = std::chrono::seconds(3), .warmupPerSecond = 3.9 } } };
    return configuration;
}

void setOrganisations(Configuration& configuration, std::vector<Gateway::OrganisationEntry> entries)
{
    configuration.organisations = Gateway::Organisations::make(std::move(entries), seed).value();
}

Gateway::OrganisationEntry organisation(const std::string& name, std::vector<std::string> keys, double ratePerSecond = 0, double burst = 0)
{
    return { .organisation = { .name = name, .priority = {}, .ratePerSecond = ratePerSecond, .burst = burst }, .keys = std::move(keys) };
}

struct FindingCase {
    std::string what;
    std::function<void(Configuration&)> change; // of the sound configuration
    std::vector<std::string> findings; // "entry: text" each
};

const FindingCase findingCases[] = {
    { "sound", [](auto& /*it*/) {}, {} },
    // Entries that can never match. The longest prefix wins, so only the same prefix hides a route.
    { "a longer prefix behind a shorter one", [](auto& it) { it.routes[1].prefix = "/a/b/"; }, {} },
    { "a shorter prefix behind a longer one", [](auto& it) { it.routes[1].prefix = "/"; }, {} },
    { "the same prefix at another host", [](auto& it) { it.routes[1].host = "g"; it.routes[1].prefix = "/a/"; }, {} },
    { "the same host and prefix", [](auto& it) { it.routes[1].prefix = "/a/"; },
        { "routes.b: never matches: routes.a has the same host and prefix and takes precedence by its name", "services.t: gets no requests: the routes that name it never match or give it the weight 0" } },
    { "a host that differs only in case", [](auto& it) { it.routes[1].prefix = "/a/"; it.routes[1].host = "H"; it.services.erase("t"); it.routes[1].parts = { { .service = "s" } }; },
        { "routes.b: never matches: routes.a has the same host and prefix and takes precedence by its name" } },
    { "a prefix that differs only in case", [](auto& it) { it.routes[1].prefix = "/A/"; }, {} },
    { "a host with a port", [](auto& it) { it.routes[0].host = "h:80"; }, { "routes.a: never matches: no request has this host, which is compared without the port" } },
    { "a host with a blank before it", [](auto& it) { it.routes[0].host = " h"; }, { "routes.a: never matches: no request has this host, which is compared without the port" } },
    { "a host of several lines", [](auto& it) { it.routes[0].host = "h\r\nA: b"; }, { "routes.a: never matches: no request has this host, which is compared without the port" } },
    { "a prefix with a query", [](auto& it) { it.routes[0].prefix = "/a/?b="; }, { "routes.a: never matches: no request's path begins with this prefix, expected / and no blank, control character or ?" } },
    { "a prefix that does not begin with a slash", [](auto& it) { it.routes[0].prefix = "a/"; }, { "routes.a: never matches: no request's path begins with this prefix, expected / and no blank, control character or ?" } },
    { "a prefix with a blank", [](auto& it) { it.routes[0].prefix = "/a b/"; }, { "routes.a: never matches: no request's path begins with this prefix, expected / and no blank, control character or ?" } },
    { "a prefix without a slash at its end", [](auto& it) { it.routes[0].prefix = "/a"; }, {} },
    { "a prefix of bytes above ASCII", [](auto& it) { it.routes[0].prefix = "/\xc3\xa9/"; }, {} },
    { "a service that no route uses", [](auto& it) { it.services["u"] = { .name = "u" }; }, { "services.u: no route uses it" } },
    { "a service of weight 0", [](auto& it) { it.routes[1].parts[1].weight = 0; }, { "services.t: gets no requests: the routes that name it never match or give it the weight 0" } },
    { "weights of 0 only: the first one is used", [](auto& it) { it.routes[1].parts = { { .service = "t", .weight = 0 }, { .service = "s", .weight = 0 } }; }, {} },
    { "the only service of a route, of weight 0", [](auto& it) { it.routes[1].parts = { { .service = "t", .weight = 0 } }; }, {} },
    { "a route whose service does not exist", [](auto& it) { it.routes[0].parts = { { .service = "u" } }; }, { "routes.a: there is no services.u: servers that register for it get the defaults" } },
    { "a route with one of several services that does not exist", [](auto& it) { it.routes[0].parts = { { .service = "s" }, { .service = "u" }, { .service = "u" } }; },
        { "routes.a: there is no services.u: servers that register for it get the defaults" } },
    { "a route without services", [](auto& it) { it.routes[0].parts.clear(); }, { "routes.a: has no service: its requests are answered with 404" } },
    { "an organisation without API keys", [](auto& it) { setOrganisations(it, { organisation("one", {}), organisation("two", { "secret" }) }); },
        { "tenants.one: has no API keys: no request can be its own, since api_keys is empty" } },
    // Limits that contradict each other.
    { "a time limit below the latency goal", [](auto& it) { it.routes[0].timeout = std::chrono::milliseconds(999); }, { "routes.a: timeout_ms (999) is below target_latency_ms (1000)" } },
    { "a time limit that is the latency goal", [](auto& it) { it.routes[0].timeout = std::chrono::seconds(1); }, {} },
    { "attempts above 1 on a route that is never repeated", [](auto& it) { it.routes[1].maxAttempts = 2; },
        { "routes.b: max_attempts is 2, but requests of route_type unsafe are never repeated: further attempts are only for those that have certainly not run" } },
    { "attempts above 1 on a route of unknown kind", [](auto& it) { it.routes[1].maxAttempts = 2; it.routes[1].kind = it.routes[1].unknownKind = "odd"; },
        { "routes.b: max_attempts is 2, but requests of route_type odd are never repeated: further attempts are only for those that have certainly not run" } },
    { "a burst that is never refilled", [](auto& it) { setOrganisations(it, { organisation("one", { "secret" }, 10, 51) }); },
        { "tenants.one: burst (51) is never refilled within a window: rate_per_s (10) gives 50 in 5 s" } },
    { "a burst that is just refilled", [](auto& it) { setOrganisations(it, { organisation("one", { "secret" }, 10, 50) }); }, {} },
    { "no limit", [](auto& it) { setOrganisations(it, { organisation("one", { "secret" }) }); }, {} },
    { "a warm-up rate without a time", [](auto& it) { it.services["t"].warmupTime = {}; }, { "services.t: warmup_per_s is given without a warmup_s above 0" } },
    { "a warm-up time without a rate", [](auto& it) { it.services["t"].warmupPerSecond = 0; }, {} },
};

struct DifferenceCase {
    std::string what;
    std::function<void(Configuration&)> change; // of the sound configuration, with two organisations
    std::vector<std::string> differences; // "change entry: field old -> new, …"; the fields only of changed entries
};

std::vector<Gateway::OrganisationEntry> twoOrganisations()
{
    return { organisation("one", { "secret-1", "secret-2" }, 10, 10), organisation("two", { "secret-3" }) };
}

const DifferenceCase differenceCases[] = {
    { "none", [](auto& /*it*/) {}, {} },
    { "only the version", [](auto& it) { it.version = 43; }, {} },
    { "routes in another order", [](auto& it) { std::swap(it.routes[0], it.routes[1]); }, {} },
    { "every field of a route", [](auto& it) { it.routes[0] = { .name = "a", .host = "g", .prefix = "/c/", .kind = "upload", .timeout = std::chrono::milliseconds(1500), .goal = std::chrono::milliseconds(250), .priority = 2, .maxAttempts = 1, .isPublic = true, .parts = { { .service = "t" } } }; },
        { "changed routes.a: host h -> g, prefix /a/ -> /c/, route_type safe -> upload, service s -> t, timeout_ms 5000 -> 1500, target_latency_ms 1000 -> 250, priority 0 -> 2, max_attempts 3 -> 1, public false -> true" } },
    { "weights", [](auto& it) { it.routes[1].parts[1].weight = 2.5; }, { "changed routes.b: service s (weight 9), t (weight 1) -> s (weight 9), t (weight 2.5)" } },
    { "one of the routes removed, others added", [](auto& it) { it.routes[0].name = "c"; }, { "removed routes.a", "added routes.c" } },
    { "every field of a service", [](auto& it) { it.services["s"] = { .name = "s", .healthPath = "/h", .maxConnections = 20, .warmupTime = std::chrono::milliseconds(2500), .warmupPerSecond = 1.5 }; },
        { "changed services.s: health_path /health -> /h, max_connections 300 -> 20, warmup_s 0 -> 2.5, warmup_per_s 0 -> 1.5" } },
    { "services removed and added", [](auto& it) { it.services.erase("t"); it.services["u"] = { .name = "u" }; }, { "removed services.t", "added services.u" } },
    { "limits", [](auto& it) { it.limits = { .headBytes = 1, .bodyBytes = 2, .readTimeout = std::chrono::milliseconds(3), .idleTimeout = std::chrono::milliseconds(4) }; },
        { "changed limits: max_header_bytes 16384 -> 1, max_body_bytes 1048576 -> 2, header_timeout_ms 5000 -> 3, idle_timeout_ms 60000 -> 4" } },
    { "fields of an organisation", [](auto& it) { auto list = twoOrganisations(); list[0].organisation = { .name = "one", .priority = 1, .ratePerSecond = 20, .burst = 30 }; setOrganisations(it, list); },
        { "changed tenants.one: priority absent -> 1, rate_per_s 10 -> 20, burst 10 -> 30" } },
    { "organisations removed and added", [](auto& it) { setOrganisations(it, { organisation("one", { "secret-1", "secret-2" }, 10, 10), organisation("three", { "secret-3" }) }); },
        { "added tenants.three", "removed tenants.two" } },
    { "a key removed", [](auto& it) { auto list = twoOrganisations(); list[0].keys.pop_back(); setOrganisations(it, list); }, { "changed tenants.one: api_keys 2 keys, 1 of them removed -> 1 key" } },
    { "a key added", [](auto& it) { auto list = twoOrganisations(); list[1].keys.emplace_back("secret-4"); setOrganisations(it, list); }, { "changed tenants.two: api_keys 1 key -> 2 keys, 1 of them new" } },
    { "a key replaced", [](auto& it) { auto list = twoOrganisations(); list[1].keys = { "secret-4" }; setOrganisations(it, list); }, { "changed tenants.two: api_keys 1 key, 1 of them removed -> 1 key, 1 of them new" } },
    { "keys in another order", [](auto& it) { auto list = twoOrganisations(); std::swap(list[0].keys[0], list[0].keys[1]); setOrganisations(it, list); }, {} },
    { "a key moved to another organisation", [](auto& it) { setOrganisations(it, { organisation("one", { "secret-1" }, 10, 10), organisation("two", { "secret-2", "secret-3" }) }); },
        { "changed tenants.one: api_keys 2 keys, 1 of them removed -> 1 key", "changed tenants.two: api_keys 1 key -> 2 keys, 1 of them new" } },
};

std::string describe(const Operator::EntryDifference& difference)
{
    auto text = fmt::format("{} {}", Common::nameOf(Operator::entryChangeNames, difference.change), difference.entry);
    if (difference.change != EntryChange::Changed)
        return text;
    const auto* separator = ": ";
    for (const auto& field : difference.fields) {
        text += fmt::format("{}{} {} -> {}", separator, field.field, field.before.value_or("absent"), field.after.value_or("absent"));
        separator = ", ";
    }
    return text;
}

std::vector<std::string> describe(const std::vector<Operator::EntryDifference>& differences)
{
    std::vector<std::string> texts;
    for (const auto& difference : differences)
        texts.push_back(describe(difference));
    return texts;
}

}

// Guards against warnings for what gateways do otherwise, and contradictions that are not seen.
TEST_CASE("Each entry that can never match and each contradiction is a warning that names its entry")
{
    for (const auto& row : findingCases) {
        CAPTURE(row.what);
        auto configuration = soundConfiguration();
        row.change(configuration);
        std::vector<std::string> findings;
        for (const auto& finding : Operator::checkConfiguration(configuration, names, {})) {
            CHECK(finding.level == FindingLevel::Warning);
            findings.push_back(finding.entry + ": " + finding.text);
        }
        CHECK(findings == row.findings);
    }
}

TEST_CASE("The window in which a burst has to be refilled is that of the settings")
{
    auto configuration = soundConfiguration();
    setOrganisations(configuration, { organisation("one", { "secret" }, 10, 50) });
    CHECK(Operator::checkConfiguration(configuration, names, { .allowanceWindow = std::chrono::seconds(5) }).empty());
    CHECK(Operator::checkConfiguration(configuration, names, { .allowanceWindow = std::chrono::milliseconds(4900) }).size() == 1);
}

TEST_CASE("A version has to be newer than the one in force")
{
    struct Row {
        std::uint64_t before;
        std::uint64_t after;
        bool isNewer;
    };
    for (const auto& row : { Row { 42, 43, true }, Row { 42, 42, false }, Row { 42, 41, false }, Row { 0, 1, true } }) {
        CAPTURE(row.before);
        CAPTURE(row.after);
        Configuration old;
        Configuration next;
        old.version = row.before;
        next.version = row.after;
        auto findings = Operator::checkVersion(old, next, names);
        CHECK(findings.empty() == row.isNewer);
        if (!findings.empty())
            CHECK(findings == std::vector<Operator::Finding> { { .level = FindingLevel::Error, .entry = "version", .text = fmt::format("{:08x} is not newer than the one in force, {:08x}", row.after, row.before) } });
    }
}

// Guards against differences that are missed, and keys on an operator's screen.
TEST_CASE("Differences are found by entry and field, and API keys are only counted")
{
    for (const auto& row : differenceCases) {
        CAPTURE(row.what);
        auto before = soundConfiguration();
        setOrganisations(before, twoOrganisations());
        auto after = before;
        row.change(after);
        auto differences = describe(Operator::compareConfigurations(before, after, names));
        CHECK(differences == row.differences);
        for (const auto& text : differences)
            CHECK(text.find("secret") == std::string::npos);
        // The other way round, what was added is removed.
        for (const auto& difference : Operator::compareConfigurations(after, before, names))
            CHECK((difference.change != EntryChange::Removed || std::find(differences.begin(), differences.end(), "added " + difference.entry) != differences.end()));
    }
}

namespace {

template <typename Item>
Item oneOf(const std::vector<Item>& items)
{
    return items[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(items.size())))];
}

// Few hosts, paths and services, so that routes often hide each other.
const std::vector<std::string> hosts { "h", "H", "g", "g:80", "h ", " h", "", "[::1]" };
const std::vector<std::string> segments { "/", "/a/", "/a/b/", "/a", "/A/", "/a?b", "a/", "/a b/", "/a/?", "/\xc3\xa9/" };
const std::vector<std::string> services { "s", "t", "u", "v" };

Configuration randomConfiguration()
{
    Configuration configuration;
    auto routes = *rc::gen::inRange(0, 8);
    for (int i = 0; i < routes; ++i) {
        Gateway::Route route { .name = std::to_string(i), .host = oneOf(hosts), .prefix = oneOf(segments), .parts = {} };
        auto parts = *rc::gen::inRange(0, 4);
        for (int j = 0; j < parts; ++j)
            route.parts.push_back({ .service = oneOf(services), .weight = static_cast<double>(*rc::gen::inRange(0, 3)) });
        configuration.routes.push_back(route);
    }
    for (const auto& service : services) {
        if (*rc::gen::arbitrary<bool>())
            configuration.services[service] = { .name = service, .maxConnections = *rc::gen::inRange(0, 3) };
    }
    std::vector<Gateway::OrganisationEntry> entries;
    auto organisations = *rc::gen::inRange(0, 4);
    for (int i = 0; i < organisations; ++i) {
        auto entry = organisation("o" + std::to_string(i), {}, *rc::gen::inRange(0, 3));
        auto keys = *rc::gen::inRange(0, 4);
        for (int j = 0; j < keys; ++j)
            entry.keys.push_back(fmt::format("secret-{}-{}", i, j));
        entries.push_back(entry);
    }
    setOrganisations(configuration, entries);
    return configuration;
}

// The entries with a warning of that beginning.
std::set<std::string> entriesOf(const std::vector<Operator::Finding>& findings, std::string_view text)
{
    std::set<std::string> entries;
    for (const auto& finding : findings) {
        if (finding.text.starts_with(text))
            entries.insert(finding.entry);
    }
    return entries;
}

}

TEST_CASE("A configuration does not differ from itself, and differs both ways or not at all")
{
    CHECK(rc::check("differences", [] {
        auto one = randomConfiguration();
        auto other = randomConfiguration();
        RC_ASSERT(Operator::compareConfigurations(one, one, names).empty());
        RC_ASSERT(Operator::compareConfigurations(one, other, names).size() == Operator::compareConfigurations(other, one, names).size());
    }));
}

// Guards against a check that has rules of its own. Requests go through the gateway's parser and its search for a route.
TEST_CASE("No request matches a route that is reported to never match, and each other route is matched by some request")
{
    CHECK(rc::check("requests", [] {
        auto configuration = randomConfiguration();
        auto unreachable = entriesOf(Operator::checkConfiguration(configuration, names, {}), "never matches");
        std::set<std::string> matched;
        for (const auto& host : hosts) {
            for (const auto& path : segments) {
                for (const std::string port : { "", ":80", ":" }) {
                    for (const std::string rest : { "", "x", "b/", "b/x?y=/a/", "?", "/" }) {
                        auto parsed = Net::parseRequestHead(fmt::format("GET {}{} HTTP/1.1\r\nHost: {}{}\r\n\r\n", path, rest, host, port));
                        if (!parsed.head)
                            continue;
                        const auto& request = parsed.head->request;
                        if (const auto* route = configuration.find(Net::findHeader(request.headers, "Host").value_or(""), Net::pathOf(request.target)))
                            matched.insert("routes." + route->name);
                    }
                }
            }
        }
        for (const auto& route : configuration.routes) {
            auto entry = "routes." + route.name;
            RC_ASSERT(matched.contains(entry) != unreachable.contains(entry));
        }
    }));
}
