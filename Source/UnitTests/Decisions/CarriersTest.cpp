#include "Decisions/Carriers.h"

#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using namespace std::chrono_literals;
using Decisions::MemberRecord;

std::vector<MemberRecord> makeEntries(int count, int domains)
{
    std::vector<MemberRecord> entries;
    for (int i = 0; i < count; ++i)
        entries.push_back({ .peerAddress = "10.0.0." + std::to_string(i) + ":81", .failureDomain = std::to_string(i % domains) });
    return entries;
}

std::set<std::string> names(const std::vector<MemberRecord>& entries)
{
    std::set<std::string> result;
    for (const auto& entry : entries)
        result.insert(entry.peerAddress);
    return result;
}

struct CountCase {
    std::size_t servers;
    int carriers;
};

constexpr CountCase countCases[] = { { 0, 2 }, { 6, 2 }, { 16, 2 }, { 25, 4 }, { 30, 4 }, { 100, 16 } };

}

TEST_CASE("the number of carriers per failure domain grows with the number of backend servers")
{
    for (const auto& row : countCases) {
        CAPTURE(row.servers);
        CHECK(Decisions::carriersPerDomain({}, row.servers) == row.carriers);
    }
}

TEST_CASE("every failure domain has carriers, and the loss of an entry moves no other carrier")
{
    auto checkPassed = rc::check([] {
        auto domains = *rc::gen::inRange(1, 5);
        auto entries = makeEntries(*rc::gen::inRange(domains, 60), domains);
        auto perDomain = *rc::gen::inRange(1, 5);
        auto service = *rc::gen::element<std::string>("puzzle", "prize", "desk", "cashier");
        auto before = Decisions::chooseCarriers(service, perDomain, entries);
        std::map<std::string, int> counts;
        for (const auto& entry : before)
            ++counts[entry.failureDomain];
        for (const auto& [domain, count] : counts)
            RC_ASSERT(count <= perDomain);
        RC_ASSERT(static_cast<int>(counts.size()) == domains);
        auto gone = entries[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(entries.size())))];
        std::erase(entries, gone);
        auto after = names(Decisions::chooseCarriers(service, perDomain, entries));
        for (const auto& entry : before)
            RC_ASSERT(entry == gone || after.contains(entry.peerAddress));
    });
    CHECK(checkPassed);
}

TEST_CASE("carriers of many services are spread over the entries")
{
    auto entries = makeEntries(200, 10);
    std::map<std::string, int> load;
    constexpr int services = 630;
    for (int i = 0; i < services; ++i) {
        for (const auto& entry : Decisions::chooseCarriers("service-" + std::to_string(i), 4, entries))
            ++load[entry.peerAddress];
    }
    // 126 each on average.
    for (const auto& entry : entries) {
        CHECK(load[entry.peerAddress] > 80);
        CHECK(load[entry.peerAddress] < 180);
    }
}

TEST_CASE("shares of entries with different views never add up to more than the budget")
{
    auto checkPassed = rc::check([] {
        auto domains = *rc::gen::inRange(1, 5);
        auto all = makeEntries(*rc::gen::inRange(domains, 40), domains);
        auto perDomain = *rc::gen::inRange(1, 6);
        Common::TimePoint now {};
        // Each running entry knows all running ones and some that have stopped, but considers only a random subset live.
        std::vector<MemberRecord> running;
        for (const auto& entry : all) {
            if (*rc::gen::inRange(0, 4) > 0)
                running.push_back(entry);
        }
        double sum = 0;
        for (const auto& self : running) {
            Decisions::CarrierShares shares({ .hooks = { .now = [&] { return now; }, .random = {} }, .self = self.peerAddress });
            std::vector<MemberRecord> live { self };
            std::vector<MemberRecord> known = running;
            for (const auto& entry : all) {
                auto runs = std::find(running.begin(), running.end(), entry) != running.end();
                if (runs && entry != self && *rc::gen::inRange(0, 2) == 0)
                    live.push_back(entry);
                if (!runs && *rc::gen::inRange(0, 2) == 0)
                    known.push_back(entry);
            }
            shares.update("puzzle", perDomain, live, known);
            now += 10s;
            auto share = shares.update("puzzle", perDomain, live, known);
            sum += share.maxRecentCarriers == Decisions::CarrierShare::noBudgetShare ? 0 : 1.0 / share.maxRecentCarriers;
        }
        RC_ASSERT(sum <= 1.0 + 1e-9);
    });
    CHECK(checkPassed);
}

TEST_CASE("the highest number of carriers is kept for one to two windows, and a new share waits for the settling time")
{
    Common::TimePoint now {};
    auto entries = makeEntries(4, 1);
    Decisions::CarrierShares shares({ .hooks = { .now = [&] { return now; }, .random = {} }, .self = entries[0].peerAddress });
    auto few = std::span(entries).first(2);
    CHECK(shares.update("puzzle", 4, entries, entries).maxRecentCarriers == Decisions::CarrierShare::noBudgetShare);
    now += 3s;
    CHECK(shares.update("puzzle", 4, entries, entries).maxRecentCarriers == 4);
    now += 1min;
    CHECK(shares.update("puzzle", 4, few, few).maxRecentCarriers == 4);
    CHECK(shares.update("puzzle", 4, few, few).carriers == 2);
    now += 3min;
    shares.update("puzzle", 4, few, few);
    now += 3min;
    CHECK(shares.update("puzzle", 4, few, few).maxRecentCarriers == 2);
}
