#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Net/HttpServer.h"
#include "Records/ServiceRecord.h"

namespace Gateway {

// A service that takes a part of a route's requests.
struct RoutePart {
    std::string service;
    double weight = 1;
};

// Where the requests of one host and path prefix go, and how.
struct Route {
    std::string name;
    std::string host; // lower case, without port
    std::string prefix; // begins and ends with a slash
    Records::Repeat repeat = Records::Repeat::Never;
    Common::Duration timeout = std::chrono::seconds(5); // the longest a caller is kept waiting
    Common::Duration goal = std::chrono::seconds(1); // an answer after it is worth little
    int priority = 0; // 0 is the most urgent
    int maxAttempts = 1; // servers one request may be sent to
    std::vector<RoutePart> parts;
};

struct Service {
    std::string name;
    std::string healthPath = "/health";
    int maxConnections = 300; // a server, over all entries
};

// All that operators decide, at one version.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    Net::ServerLimits limits;

    // The route of a request: same host, longest prefix that begins the path; nullptr when there is none.
    const Route* find(std::string_view host, std::string_view path) const;
};

}
