#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Gateway/Organisations.h"
#include "Net/HttpServer.h"
#include "Records/ServiceRecord.h"

namespace Gateway {

// A service that takes a share of a route's requests.
struct RoutePart {
    std::string service;
    double weight = 1; // relative to the other parts of the route
};

// Routing rule for the requests to one host and path prefix.
struct Route {
    std::string name;
    std::string host; // lower case, without port
    std::string prefix; // begins and ends with a slash
    Records::Repeat repeat = Records::Repeat::Never;
    std::string kind = {}; // as the operators wrote it
    std::string unknownKind = {}; // the kind that the operators gave it, if this version does not know it; then `repeat` is Never
    Common::Duration timeout = std::chrono::seconds(5); // longest time that a caller waits for a response
    Common::Duration goal = std::chrono::seconds(1); // latency goal: a later response is worth little to the caller
    int priority = 0; // 0 is the most urgent
    int maxAttempts = 1; // servers that one request may be sent to, retries and hedges included
    bool isPublic = false; // callers need no API key, also where the configuration has organisations
    bool isUsable = true; // false: where its requests go is not known, since its entry has errors
    std::vector<RoutePart> parts;
};

struct Service {
    std::string name;
    std::string healthPath = "/health";
    int maxConnections = 300; // to each server, from all gateways together
    Common::Duration warmupTime {}; // for which a server stays cold; servers tell it themselves, so this is for the operators only
    double warmupPerSecond = 0; // requests a second that a cold server takes from all gateways together; 0: no limit
};

// The operators' configuration at one version.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    Net::ServerLimits limits;
    Organisations organisations; // empty: callers need no API keys

    // The route with the request's host and the longest prefix of its path; nullptr if none matches.
    const Route* find(std::string_view host, std::string_view path) const;
};

// How much of a configuration an error makes unusable.
enum class ErrorScope {
    Field, // a default counts instead; a list goes on without the item
    Entry, // a route, service or organisation
    Configuration,
};

// An error in the operators' text of a configuration.
struct ConfigurationError {
    std::string entry; // as the operators write it: the object's name, a dot, the entry's name; empty: the whole text
    std::string text;
    ErrorScope scope = ErrorScope::Field;
};

// What a text of the operators holds. What has errors is left out of the configuration.
struct ConfigurationReading {
    Configuration configuration;
    std::vector<ConfigurationError> errors;

    // Whether the configuration can be put in force.
    bool isUsable() const;
    // The first error, of those that make it unusable if there are any, and the number of others; empty if there are none.
    std::string errorText() const;
};

// The names of a configuration's parts as operators write them.
struct ConfigurationNames {
    const char* version = "";
    const char* limits = "";
    const char* routes = "";
    const char* services = "";
    const char* organisations = "";
    // of a route
    const char* host = "";
    const char* prefix = "";
    const char* kind = "";
    const char* timeout = "";
    const char* goal = "";
    const char* priority = ""; // of an organisation, too
    const char* maxAttempts = "";
    const char* isPublic = "";
    const char* service = ""; // the only one of a route, or that of a part
    const char* parts = "";
    const char* weight = ""; // of a part
    // of a service
    const char* healthPath = "";
    const char* maxConnections = "";
    const char* warmupTime = "";
    const char* warmupPerSecond = "";
    // of an organisation
    const char* keys = "";
    const char* ratePerSecond = "";
    const char* burst = "";
    // of the limits
    const char* headBytes = "";
    const char* bodyBytes = "";
    const char* readTimeout = "";
    const char* idleTimeout = "";
};

}
