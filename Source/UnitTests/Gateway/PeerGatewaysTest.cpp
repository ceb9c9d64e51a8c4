#include "Gateway/PeerGateways.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "platform/Binding.h"

// The choice of gateways to forward requests to, in virtual time.

namespace {

using Gateway::Member;
using Gateway::Members;
using Gateway::PeerGateways;
using Gateway::PeerNeed;
using std::chrono::milliseconds;

constexpr auto service = "service";

Member member(int number, const std::string& domain)
{
    auto host = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
    return { .control = host + ":1", .callers = host + ":2", .failureDomain = domain, .startedMs = 0, .capacity = 1, .serving = true, .forwarding = host + ":3" };
}

struct SearchCase {
    std::string name;
    int cutOff = 0; // gateways of the own failure domain, none of which reaches the servers
    int reaching = 0; // gateways that do
    std::string reachingDomain; // their failure domain
    milliseconds interval {}; // between requests
    int mostInSearch = 2; // requests that may find none, until one is found
    PeerNeed need = PeerNeed::Servers;
};

const SearchCase searchCases[] = {
    { "a few gateways", 4, 2, "b", milliseconds(20) },
    { "a domain of sixty", 60, 6, "b", milliseconds(20) },
    { "a domain of sixty, nearly all others lost", 60, 1, "b", milliseconds(20) },
    { "a single domain of sixty, nearly all lost", 60, 1, "a", milliseconds(20), 100 },
    { "a domain of sixty, many requests", 60, 6, "b", milliseconds(2) },
    { "a domain of 118, a request now and then", 118, 6, "b", milliseconds(150) },
    { "a domain of sixty can't authenticate callers", 60, 6, "b", milliseconds(20), 2, PeerNeed::Authentication },
};

struct Search {
    int requests = 0;
    int withoutReaching = 0; // requests for which no gateway was asked that reaches the servers
    int askedInVain = 0; // gateways asked that do not
};

// Plays requests for `length`, in which each gateway asked answers at once.
Search search(const SearchCase& row, Common::Duration length)
{
    Search result;
    Common::TimePoint now(std::chrono::hours(1));
    auto hooks = Common::systemHooks();
    hooks.now = [&] { return now; };
    Net::EventLoop loop(hooks);
    Members members(member(0, "a"));
    std::set<std::string> reaching;
    for (int i = 1; i <= row.cutOff + row.reaching; ++i) {
        auto other = member(i, i <= row.cutOff ? "a" : row.reachingDomain);
        members.recordContact(other, now);
        if (i > row.cutOff)
            reaching.insert(other.control);
    }
    auto headers = PlatformAdapter::binding().headers;
    PeerGateways peers(loop, members, { .headers = headers, .failureDomain = "a", .client = {} });
    auto end = now + length;
    std::function<void()> request = [&] {
        auto asked = peers.candidates(row.need, service);
        auto reaches = [&](const auto& peer) { return reaching.contains(peer->record().id); };
        ++result.requests;
        result.withoutReaching += std::none_of(asked.begin(), asked.end(), reaches) ? 1 : 0;
        for (const auto& peer : asked) {
            if (reaches(peer)) {
                peer->learnFrom({ .status = 200, .reason = {}, .headers = { { headers.load, "1,0,1,100" } }, .body = {} });
            } else {
                ++result.askedInVain;
                peers.avoid(row.need, *peer);
            }
        }
        now += row.interval;
        if (now >= end)
            return loop.stop();
        loop.after(row.interval, request);
    };
    loop.after(Common::Duration::zero(), request);
    loop.run();
    return result;
}

}

// Guards against requests that are refused since too many other gateways have lost the servers too.
TEST_CASE("Where the whole failure domain has lost its servers, nearly every request finds a gateway that reaches them")
{
    constexpr auto length = std::chrono::seconds(4);
    constexpr int mostAskedInVainPerSecond = 10;
    for (const auto& row : searchCases) {
        CAPTURE(row.name);
        auto result = search(row, length);
        CAPTURE(result.requests);
        CAPTURE(result.withoutReaching);
        CHECK(result.withoutReaching <= row.mostInSearch);
        CAPTURE(result.askedInVain);
        CHECK(result.askedInVain <= row.cutOff + mostAskedInVainPerSecond * length.count());
    }
}

// Guards against a storm of load probes in an outage of the store, when all gateways of a fleet ask each other.
TEST_CASE("While no gateway can authenticate callers, each asks a few others a second, however many requests come")
{
    constexpr auto length = std::chrono::seconds(4);
    constexpr int mostPerSecond = 18;
    for (auto interval : { milliseconds(2), milliseconds(20) }) {
        CAPTURE(interval.count());
        auto result = search({ "a fleet of 221", 220, 0, "b", interval, 0, PeerNeed::Authentication }, length);
        CAPTURE(result.askedInVain);
        CHECK(result.withoutReaching == result.requests);
        CHECK(result.askedInVain <= mostPerSecond * length.count());
    }
}
