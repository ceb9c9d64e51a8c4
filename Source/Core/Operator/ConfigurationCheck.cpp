#include "Operator/ConfigurationCheck.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <set>

#include <fmt/format.h>

#include "Net/HttpMessage.h"

namespace Operator {

namespace {

    using Gateway::Configuration;
    using Gateway::ConfigurationNames;

    std::string entryName(const char* object, const std::string& name)
    {
        return fmt::format("{}.{}", object, name);
    }

    // Whether a request can have this host and path, which are read from it by the gateway's own code.
    bool isRequestable(const std::string& host, const std::string& path)
    {
        // With a port, which a request's Host field may have: a host is compared without it.
        auto parsed = Net::parseRequestHead(fmt::format("GET {} HTTP/1.1\r\nHost: {}:80\r\n\r\n", path, host));
        if (!parsed.head)
            return false;
        const auto& request = parsed.head->request;
        auto field = Net::findHeader(request.headers, "Host").value_or("");
        return Net::pathOf(request.target) == path && field.substr(0, field.find(':')) == host;
    }

    // The routes that some request matches. If any does, then the one whose path is the route's prefix: a route that takes precedence for
    // this path has the same prefix, and takes all others, too.
    std::set<std::string> reachableRoutes(const Configuration& configuration)
    {
        std::set<std::string> routes;
        for (const auto& route : configuration.routes) {
            if (isRequestable(route.host, route.prefix) && configuration.find(route.host, route.prefix) == &route)
                routes.insert(route.name);
        }
        return routes;
    }

    // The services that requests on the route are sent to. As in a gateway, weights count only between several parts.
    std::vector<std::string> servicesOf(const Gateway::Route& route)
    {
        if (route.parts.empty())
            return {};
        auto total = std::accumulate(route.parts.begin(), route.parts.end(), 0.0, [](double sum, const auto& part) { return sum + part.weight; });
        if (route.parts.size() == 1 || total <= 0)
            return { route.parts.front().service };
        std::vector<std::string> services;
        for (const auto& part : route.parts) {
            if (part.weight > 0)
                services.push_back(part.service);
        }
        return services;
    }

    class Check {
    public:
        Check(const Configuration& configuration, const ConfigurationNames& names, const CheckBounds& bounds)
            : m_configuration(configuration)
            , m_names(names)
            , m_bounds(bounds)
            , m_reachable(reachableRoutes(configuration))
        {
        }

        std::vector<Finding> run()
        {
            for (const auto& route : m_configuration.routes) {
                checkMatch(route);
                checkServices(route);
                checkLimits(route);
            }
            checkServices();
            checkOrganisations();
            return std::move(m_findings);
        }

    private:
        template <typename... Arguments>
        void warn(const std::string& entry, fmt::format_string<Arguments...> format, Arguments&&... arguments)
        {
            m_findings.push_back({ .level = FindingLevel::Warning, .entry = entry, .text = fmt::format(format, std::forward<Arguments>(arguments)...) });
        }

        void checkMatch(const Gateway::Route& route)
        {
            if (m_reachable.contains(route.name))
                return;
            auto entry = entryName(m_names.routes, route.name);
            if (!isRequestable(route.host, "/"))
                return warn(entry, "never matches: no request has this {}, which is compared without the port", m_names.host);
            if (!isRequestable(route.host, route.prefix))
                return warn(entry, "never matches: no request's path begins with this {}, expected / and no blank, control character or ?", m_names.prefix);
            const auto* other = m_configuration.find(route.host, route.prefix);
            warn(entry, "never matches: {} has the same {} and {} and takes precedence by its name", entryName(m_names.routes, other->name), m_names.host, m_names.prefix);
        }

        void checkServices(const Gateway::Route& route)
        {
            auto entry = entryName(m_names.routes, route.name);
            if (route.parts.empty())
                warn(entry, "has no {}: its requests are answered with 404", m_names.service);
            std::set<std::string> unknown;
            for (const auto& part : route.parts) {
                if (!m_configuration.services.contains(part.service) && unknown.insert(part.service).second)
                    warn(entry, "there is no {}: servers that register for it get the defaults", entryName(m_names.services, part.service));
            }
        }

        void checkLimits(const Gateway::Route& route)
        {
            auto entry = entryName(m_names.routes, route.name);
            if (route.timeout < route.goal)
                warn(entry, "{} ({}) is below {} ({})", m_names.timeout, Common::toMilliseconds(route.timeout), m_names.goal, Common::toMilliseconds(route.goal));
            if (route.repeat == Records::Repeat::Never && route.maxAttempts > 1) {
                warn(entry, "{} is {}, but requests of {} {} are never repeated: further attempts are only for those that have certainly not run",
                    m_names.maxAttempts, route.maxAttempts, m_names.kind, route.kind);
            }
        }

        void checkServices()
        {
            std::set<std::string> named;
            std::set<std::string> used;
            for (const auto& route : m_configuration.routes) {
                for (const auto& part : route.parts)
                    named.insert(part.service);
                if (m_reachable.contains(route.name)) {
                    auto services = servicesOf(route);
                    used.insert(services.begin(), services.end());
                }
            }
            for (const auto& [name, service] : m_configuration.services) {
                auto entry = entryName(m_names.services, name);
                if (!named.contains(name))
                    warn(entry, "no route uses it");
                else if (!used.contains(name))
                    warn(entry, "gets no requests: the routes that name it never match or give it the {} 0", m_names.weight);
                if (service.warmupPerSecond > 0 && service.warmupTime <= Common::Duration::zero())
                    warn(entry, "{} is given without a {} above 0", m_names.warmupPerSecond, m_names.warmupTime);
            }
        }

        void checkOrganisations()
        {
            auto windowS = std::chrono::duration<double>(m_bounds.allowanceWindow).count();
            auto keys = m_configuration.organisations.keyDigests();
            for (const auto& organisation : m_configuration.organisations.all()) {
                auto entry = entryName(m_names.organisations, organisation.name);
                if (keys[organisation.name].empty())
                    warn(entry, "has no API keys: no request can be its own, since {} is empty", m_names.keys);
                if (!organisation.hasAllowance() && organisation.burst > 0)
                    warn(entry, "{} ({}) has no effect without a {} above 0: there is no limit", m_names.burst, organisation.burst, m_names.ratePerSecond);
                if (organisation.hasAllowance() && organisation.burst > organisation.ratePerSecond * windowS) {
                    warn(entry, "{} ({}) is never refilled within a window: {} ({}) gives {} in {} s",
                        m_names.burst, organisation.burst, m_names.ratePerSecond, organisation.ratePerSecond, organisation.ratePerSecond * windowS, windowS);
                }
            }
        }

        const Configuration& m_configuration;
        const ConfigurationNames& m_names;
        CheckBounds m_bounds;
        std::set<std::string> m_reachable;
        std::vector<Finding> m_findings;
    };

    // The fields of an entry as text, in the order in which they are reported.
    using Fields = std::vector<std::pair<std::string, std::optional<std::string>>>;
    using Entries = std::map<std::string, Fields, std::less<>>;

    std::string textOf(bool value)
    {
        return value ? "true" : "false";
    }
    std::string textOf(double value)
    {
        return fmt::format("{}", value);
    }
    std::string textOf(int value)
    {
        return fmt::format("{}", value);
    }
    std::string textOf(std::size_t value)
    {
        return fmt::format("{}", value);
    }
    std::string textOf(Common::Duration value)
    {
        return textOf(Common::toMilliseconds(value));
    }

    std::string textOf(const std::vector<Gateway::RoutePart>& parts, const ConfigurationNames& names)
    {
        if (parts.size() == 1)
            return parts.front().service; // whatever its weight
        std::string text;
        for (const auto& part : parts)
            text += fmt::format("{}{} ({} {})", text.empty() ? "" : ", ", part.service, names.weight, part.weight);
        return text;
    }

    Fields fieldsOf(const Gateway::Route& route, const ConfigurationNames& names)
    {
        return {
            { names.host, route.host },
            { names.prefix, route.prefix },
            { names.kind, route.kind },
            { names.service, textOf(route.parts, names) },
            { names.timeout, textOf(route.timeout) },
            { names.goal, textOf(route.goal) },
            { names.priority, textOf(route.priority) },
            { names.maxAttempts, textOf(route.maxAttempts) },
            { names.isPublic, textOf(route.isPublic) },
        };
    }

    Fields fieldsOf(const Gateway::Service& service, const ConfigurationNames& names)
    {
        return {
            { names.healthPath, service.healthPath },
            { names.maxConnections, textOf(service.maxConnections) },
            { names.warmupTime, textOf(std::chrono::duration<double>(service.warmupTime).count()) },
            { names.warmupPerSecond, textOf(service.warmupPerSecond) },
        };
    }

    Fields fieldsOf(const Gateway::Organisation& organisation, const ConfigurationNames& names)
    {
        return {
            { names.priority, organisation.priority ? std::optional(textOf(*organisation.priority)) : std::nullopt },
            { names.ratePerSecond, textOf(organisation.ratePerSecond) },
            { names.burst, textOf(organisation.burst) },
        };
    }

    Fields fieldsOf(const Net::ServerLimits& limits, const ConfigurationNames& names)
    {
        return {
            { names.headBytes, textOf(limits.headBytes) },
            { names.bodyBytes, textOf(limits.bodyBytes) },
            { names.readTimeout, textOf(limits.readTimeout) },
            { names.idleTimeout, textOf(limits.idleTimeout) },
        };
    }

    Entries routesOf(const Configuration& configuration, const ConfigurationNames& names)
    {
        Entries entries;
        for (const auto& route : configuration.routes)
            entries[entryName(names.routes, route.name)] = fieldsOf(route, names);
        return entries;
    }

    Entries servicesOf(const Configuration& configuration, const ConfigurationNames& names)
    {
        Entries entries;
        for (const auto& [name, service] : configuration.services)
            entries[entryName(names.services, name)] = fieldsOf(service, names);
        return entries;
    }

    using Digests = std::vector<Common::Digest>;

    std::size_t countWithout(const Digests& all, const Digests& others)
    {
        Digests rest;
        std::set_difference(all.begin(), all.end(), others.begin(), others.end(), std::back_inserter(rest));
        return rest.size();
    }

    // "3 keys, 1 of them new": differs from the other one's if any key does.
    std::string keysText(const Digests& keys, const Digests& others, const char* what)
    {
        auto n = countWithout(keys, others);
        auto text = fmt::format("{} {}", keys.size(), keys.size() == 1 ? "key" : "keys");
        return n == 0 ? text : fmt::format("{}, {} of them {}", text, n, what);
    }

    Entries organisationsOf(const Configuration& configuration, const Configuration& other, const ConfigurationNames& names, const char* what)
    {
        auto keys = configuration.organisations.keyDigests();
        auto otherKeys = other.organisations.keyDigests();
        Entries entries;
        for (const auto& organisation : configuration.organisations.all()) {
            auto fields = fieldsOf(organisation, names);
            auto it = otherKeys.find(organisation.name);
            const auto& own = keys[organisation.name];
            fields.emplace_back(names.keys, keysText(own, it == otherKeys.end() ? own : it->second, what));
            entries[entryName(names.organisations, organisation.name)] = std::move(fields);
        }
        return entries;
    }

    void addDifferences(std::vector<EntryDifference>& differences, const Entries& before, const Entries& after)
    {
        std::set<std::string> all;
        for (const auto* entries : { &before, &after }) {
            for (const auto& [entry, fields] : *entries)
                all.insert(entry);
        }
        for (const auto& entry : all) {
            auto was = before.find(entry);
            auto is = after.find(entry);
            EntryDifference difference { .entry = entry, .change = EntryChange::Changed, .fields = {} };
            if (was == before.end() || is == after.end()) {
                auto isAdded = was == before.end();
                difference.change = isAdded ? EntryChange::Added : EntryChange::Removed;
                for (const auto& [field, value] : isAdded ? is->second : was->second)
                    difference.fields.push_back({ .field = field, .before = isAdded ? std::nullopt : value, .after = isAdded ? value : std::nullopt });
            } else {
                // Entries of one object have the same fields in the same order.
                for (std::size_t i = 0; i < was->second.size(); ++i) {
                    const auto& [field, old] = was->second[i];
                    const auto& value = is->second[i].second;
                    if (old != value)
                        difference.fields.push_back({ .field = field, .before = old, .after = value });
                }
                if (difference.fields.empty())
                    continue;
            }
            differences.push_back(std::move(difference));
        }
    }

}

std::vector<Finding> checkConfiguration(const Gateway::Configuration& configuration, const Gateway::ConfigurationNames& names, const CheckBounds& bounds)
{
    return Check(configuration, names, bounds).run();
}

std::vector<Finding> checkVersion(const Gateway::Configuration& before, const Gateway::Configuration& after, const Gateway::ConfigurationNames& names)
{
    if (after.version > before.version)
        return {};
    return { { .level = FindingLevel::Error,
        .entry = names.version,
        .text = fmt::format("{} is not newer than the one in force, {}", versionText(after.version), versionText(before.version)) } };
}

std::vector<EntryDifference> compareConfigurations(const Gateway::Configuration& before, const Gateway::Configuration& after, const Gateway::ConfigurationNames& names)
{
    std::vector<EntryDifference> differences;
    addDifferences(differences, routesOf(before, names), routesOf(after, names));
    addDifferences(differences, servicesOf(before, names), servicesOf(after, names));
    addDifferences(differences, organisationsOf(before, after, names, "removed"), organisationsOf(after, before, names, "new"));
    addDifferences(differences, { { names.limits, fieldsOf(before.limits, names) } }, { { names.limits, fieldsOf(after.limits, names) } });
    return differences;
}

std::string versionText(std::uint64_t version)
{
    return fmt::format("{:08x}", version);
}

}
