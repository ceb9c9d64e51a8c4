#include "Records/ServiceRecord.h"

#include <algorithm>

#include <fmt/format.h>

#include "Common/Address.h"

namespace Records {

namespace {

    using Common::TomlReader;

    constexpr int maxDeadlineMs = 3'600'000;
    constexpr int maxSlots = 10'000;
    constexpr int maxConnections = 100'000;
    constexpr double maxProbeBudget = 100'000;

    constexpr int maxQueue = 100'000;
    constexpr int firstSchemaWithTables = 2;

    // Schema 1 says only whether to hedge, schema 2 says when.
    void readHedge(TomlReader& reader, int schema, Rule& rule)
    {
        constexpr double lowest = 0.5;
        constexpr double highest = 0.999;
        const auto* key = schema < firstSchemaWithTables ? "hedge" : "hedge_quantile";
        if (schema < firstSchemaWithTables) {
            rule.hedge = reader.boolean(key, false);
        } else {
            rule.hedge = reader.has(key);
            rule.hedgeQuantile = reader.number(key, lowest, highest, rule.hedgeQuantile);
        }
        if (rule.hedge && rule.repeat == Repeat::Never)
            reader.fail(key, "a request that may not be repeated cannot be hedged");
    }

    Rule readRule(TomlReader& reader, int schema)
    {
        Rule rule;
        rule.method = reader.string("method", "");
        rule.pathPrefix = reader.string("path", "/");
        if (!rule.pathPrefix.starts_with('/'))
            reader.fail("path", "expected a path that starts with /");
        auto idempotent = rule.method == "GET" || rule.method == "HEAD";
        rule.repeat = reader.name("repeat", repeatNames, std::optional(idempotent ? Repeat::Safe : Repeat::Never));
        rule.claim = reader.name("claim", claimNames, std::optional(Claim::None));
        readHedge(reader, schema, rule);
        rule.deadlineMs = static_cast<int>(reader.integer("deadline_ms", 0, maxDeadlineMs, 0));
        reader.finish();
        return rule;
    }

    void readServers(TomlReader& reader, ServiceRecord& record)
    {
        record.pool = reader.string("pool", "");
        record.servers = reader.strings("servers", std::vector<std::string> {});
        if (record.pool.empty() == record.servers.empty())
            reader.fail(reader.has("servers") ? "servers" : "pool", "expected either a pool or a list of servers");
        for (const auto& server : record.servers) {
            if (!Common::isAddress(server))
                reader.fail("servers", fmt::format("\"{}\" is not an address as ip:port", server));
        }
    }

    void readCapacity(TomlReader& reader, ServiceRecord& record)
    {
        record.slots = static_cast<int>(reader.integer("slots", 1, maxSlots, record.slots));
        record.connections = static_cast<int>(reader.integer("connections", 1, maxConnections, record.connections));
    }

    void readProbe(TomlReader& reader, std::string_view budgetKey, ServiceRecord& record)
    {
        record.probeBudget = reader.number(budgetKey, 0, maxProbeBudget, record.probeBudget);
        record.goal = reader.name("goal", goalNames, std::optional(record.goal));
    }

    void readSchema1(TomlReader& reader, ServiceRecord& record)
    {
        readCapacity(reader, record);
        readProbe(reader, "probe_budget", record);
    }

    void readSchema2(TomlReader& reader, const std::string& file, std::vector<Common::FileError>& errors, ServiceRecord& record)
    {
        const toml::table none;
        const auto* probe = reader.table("probe");
        TomlReader probeReader(probe ? *probe : none, file, "probe", errors);
        readProbe(probeReader, "budget", record);
        probeReader.finish();
        const auto* limits = reader.table("limits");
        TomlReader limitsReader(limits ? *limits : none, file, "limits", errors);
        readCapacity(limitsReader, record);
        record.limits.retryShare = limitsReader.number("retry_share", 0, 1, record.limits.retryShare);
        record.limits.hedgeShare = limitsReader.number("hedge_share", 0, 1, record.limits.hedgeShare);
        record.limits.queue = static_cast<int>(limitsReader.integer("queue", 0, maxQueue, record.limits.queue));
        limitsReader.finish();
    }

    bool isServiceName(std::string_view name)
    {
        constexpr std::size_t maxLength = 64;
        auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
        return !name.empty() && name.size() <= maxLength && std::all_of(name.begin(), name.end(), allowed);
    }

}

std::optional<ServiceRecord> parseServiceRecord(const std::string& text, const std::string& file, std::vector<Common::FileError>& errors)
{
    auto table = Common::parseToml(text, file, errors);
    if (!table)
        return std::nullopt;
    auto errorsBefore = errors.size();
    TomlReader reader(*table, file, "", errors);
    ServiceRecord record;
    record.schema = static_cast<int>(reader.integer("schema", 1, newestSchema));
    record.service = reader.string("service");
    if (reader.has("service") && !isServiceName(record.service))
        reader.fail("service", "expected 1 to 64 of a-z, 0-9 and -");
    readServers(reader, record);
    if (record.schema < firstSchemaWithTables)
        readSchema1(reader, record);
    else
        readSchema2(reader, file, errors, record);
    record.policy = reader.name("policy", policyNames, std::optional(record.policy));
    auto rules = reader.tables("rules");
    for (std::size_t i = 0; i < rules.size(); ++i) {
        TomlReader ruleReader(*rules[i], file, fmt::format("rules[{}]", i), errors);
        record.rules.push_back(readRule(ruleReader, record.schema));
    }
    reader.finish();
    if (errors.size() > errorsBefore)
        return std::nullopt;
    return record;
}

Rule ruleFor(const ServiceRecord& record, std::string_view method, std::string_view path)
{
    for (const auto& rule : record.rules) {
        if ((rule.method.empty() || rule.method == method) && path.starts_with(rule.pathPrefix))
            return rule;
    }
    auto idempotent = method == "GET" || method == "HEAD";
    return { .method = std::string(method), .pathPrefix = "/", .repeat = idempotent ? Repeat::Safe : Repeat::Never };
}

}
