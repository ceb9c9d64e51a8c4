#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "Bench/HttpClient.h"

namespace Bench {

// What callers of one failure domain know of the entries: the answer of /v1/entries, kept for its time to live.
class Directory {
public:
    Directory(HttpClient&, std::vector<std::string> known, std::string failureDomain, std::uint64_t seed);

    // An entry for a call, of the own failure domain where there is one; never `except` when there is another.
    std::string pick(const std::string& service, const std::string& except = {});

private:
    struct Listing {
        std::vector<std::string> near;
        std::vector<std::string> all;
        Common::TimePoint refreshAt;
        bool asking = false;
    };

    void ask(const std::string& service, Listing&);
    void learn(const std::string& service, const ClientAnswer&);
    std::string drawn(const std::vector<std::string>&);

    HttpClient& m_client;
    std::vector<std::string> m_known;
    std::string m_failureDomain;
    std::mt19937_64 m_random;
    std::map<std::string, Listing> m_listings;
};

}
