#include "Bench/Directory.h"

#include <sstream>

#include <json/json.h>

namespace Bench {

Directory::Directory(HttpClient& client, std::vector<std::string> known, std::string failureDomain, std::uint64_t seed)
    : m_client(client)
    , m_known(std::move(known))
    , m_failureDomain(std::move(failureDomain))
    , m_random(seed)
{
}

std::string Directory::pick(const std::string& service, const std::string& except)
{
    auto& listing = m_listings[service];
    if (!listing.asking && std::chrono::steady_clock::now() >= listing.refreshAt)
        ask(service, listing);
    const auto& addresses = listing.near.empty() ? listing.all : listing.near;
    auto address = drawn(addresses.empty() ? m_known : addresses);
    if (address != except)
        return address;
    auto others = listing.all.empty() ? m_known : listing.all;
    std::erase(others, except);
    return others.empty() ? address : drawn(others);
}

void Directory::ask(const std::string& service, Listing& listing)
{
    listing.asking = true;
    auto address = drawn(listing.all.empty() ? m_known : listing.all);
    m_client.send({
        .address = address,
        .text = requestText("GET", "/v1/entries?service=" + service + "&failure_domain=" + m_failureDomain, "", ""),
        .timeout = std::chrono::milliseconds(500),
        .done = [this, service](const ClientAnswer& answer) { learn(service, answer); },
    });
}

void Directory::learn(const std::string& service, const ClientAnswer& answer)
{
    auto& listing = m_listings[service];
    listing.asking = false;
    Json::Value json;
    std::istringstream in(answer.body);
    constexpr int ok = 200;
    if (answer.status != ok || !Json::parseFromStream(Json::CharReaderBuilder(), in, &json, nullptr)) {
        // Whoever gave the list may have gone with all that it named.
        listing.all = m_known;
        listing.near.clear();
        return;
    }
    listing.near.clear();
    listing.all.clear();
    for (const auto& entry : json["entries"]) {
        listing.all.push_back(entry["address"].asString());
        if (entry["failure_domain"].asString() == m_failureDomain)
            listing.near.push_back(listing.all.back());
    }
    // Asked again before the answer is too old, so that none is used beyond its time.
    constexpr double refreshShare = 0.8;
    listing.refreshAt = Common::TimePoint(std::chrono::steady_clock::now()) + Common::fromMilliseconds(json["ttl_ms"].asDouble() * refreshShare);
}

std::string Directory::drawn(const std::vector<std::string>& addresses)
{
    return addresses[m_random() % addresses.size()];
}

}
