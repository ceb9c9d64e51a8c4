#include "Gateway/Members.h"

#include <algorithm>
#include <map>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Gateway::Member;
using Gateway::Members;

const Common::TimePoint start(std::chrono::hours(1));

Member member(int number, const std::string& domain = "a", bool serving = true)
{
    auto name = std::to_string(number);
    return { .control = "10.0.0." + name + ":1", .callers = "10.0.0." + name + ":2", .failureDomain = domain, .startedMs = 0, .capacity = 1, .serving = serving };
}

struct Case {
    std::string what;
    std::vector<Member> others;
    std::string domain;
    std::size_t addresses;
};

const Case cases[] = {
    { "enough addresses in the own domain", { member(2), member(3), member(4, "b") }, "a", 3 },
    { "few addresses in the own domain: all domains", { member(2, "b"), member(3, "b") }, "a", 3 },
    { "a member that is not serving is left out", { member(2), member(3), member(4), member(5, "a", false) }, "a", 4 },
    { "unknown domain: all domains", { member(2), member(3) }, "elsewhere", 3 },
};

std::vector<std::string> controls(const std::vector<Member>& list)
{
    std::vector<std::string> names;
    for (const auto& it : list)
        names.push_back(it.control + (it.serving ? "+" : "-"));
    std::sort(names.begin(), names.end());
    return names;
}

}

TEST_CASE("Callers get addresses of their own failure domain, or of all where those are few")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        Members members(member(1));
        for (const auto& other : row.others)
            members.recordContact(other, start);
        auto hooks = Common::systemHooks();
        hooks.now = [] { return start; };
        CHECK(members.addressesFor(row.domain, 64, hooks).size() == row.addresses);
    }
}

TEST_CASE("Members without contact expire, sooner after their connection ended")
{
    Members members(member(1));
    members.recordContact(member(2), start);
    CHECK(!members.expire(start + std::chrono::seconds(2)));
    members.suspect(member(2).control, start + std::chrono::seconds(2));
    CHECK(members.expire(start + std::chrono::milliseconds(2100)));
    CHECK(members.size() == 1);
}

TEST_CASE("A follower's member list equals its relay's after an update, whichever updates it missed before")
{
    auto held = rc::check("changes by revision", [] {
        Members relay(member(1));
        Members follower(member(99));
        std::uint64_t revision = 0;
        auto now = start;
        for (int step = 0; step < 30; ++step) {
            now += std::chrono::milliseconds(500);
            relay.recordContact(member(*rc::gen::inRange(2, 12), "a", *rc::gen::arbitrary<bool>()), now);
            relay.expire(now);
            if (*rc::gen::arbitrary<bool>())
                continue;
            auto update = relay.changesSince(revision, "a");
            follower.apply(update, now);
            revision = update.revision;
            auto list = follower.all();
            list.erase(list.begin());
            RC_ASSERT(controls(list) == controls(relay.all()));
        }
    });
    CHECK(held);
}

// Guards against directory answers with gateways that were removed long ago: followers' lists shrink to their own failure domain
// while the fleet grows.
TEST_CASE("A follower keeps no member that its relay has dropped, whichever failure domains the relay's updates cover")
{
    auto held = rc::check("two failure domains, lists around the filtered size", [] {
        Members relay(member(1));
        Members follower(member(200));
        std::uint64_t revision = 0;
        auto now = start;
        for (int step = 0; step < 12; ++step) {
            now += std::chrono::milliseconds(1500);
            auto aliveInA = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 70));
            auto aliveInB = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 70));
            for (int i = 0; i < aliveInA; ++i)
                relay.recordContact(member(2 + i, "a"), now);
            for (int i = 0; i < aliveInB; ++i)
                relay.recordContact(member(100 + i, "b"), now);
            relay.expire(now);
            auto update = relay.changesSince(revision, "a");
            follower.apply(update, now);
            revision = update.revision;
            auto known = controls(relay.all());
            for (const auto& control : controls(follower.all()))
                RC_ASSERT(control.starts_with(member(200).control) || std::find(known.begin(), known.end(), control) != known.end());
        }
    });
    CHECK(held);
}

// Guards against members that only asked this gateway for updates, while it was a relay, and that it names to callers for good.
TEST_CASE("A member that is in no relay's list is dropped when it makes no more contact")
{
    Members relay(member(1));
    relay.recordContact(member(2), start);
    Members candidate(member(2));
    auto update = relay.changesSince(0, "a");
    candidate.apply(update, start);
    candidate.recordContact(member(3), start);
    CHECK(candidate.all().size() == 3);
    candidate.apply(relay.changesSince(update.revision, "a"), start + std::chrono::seconds(3));
    CHECK(controls(candidate.all()) == std::vector { member(1).control + "+", member(2).control + "+" });
}

// Guards against a failure domain that has lost its servers and knows no gateway of another one.
TEST_CASE("In a fleet of any size a gateway knows living gateways of each other failure domain that take forwarded requests")
{
    constexpr std::size_t enough = 12;
    auto held = rc::check("three failure domains, lists around the filtered size", [&] {
        Members relay(member(1));
        Members follower(member(250, "a"));
        std::uint64_t revision = 0;
        auto now = start;
        for (int step = 0; step < 12; ++step) {
            now += std::chrono::milliseconds(1500);
            std::map<std::string, std::size_t> alive;
            for (const auto& [domain, first] : { std::pair("a", 2), std::pair("b", 80), std::pair("c", 160) }) {
                auto n = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 60));
                for (int i = 0; i < n; ++i) {
                    auto other = member(first + i, domain, *rc::gen::inRange(0, 8) > 0);
                    other.forwarding = i % 10 == 9 ? "" : other.control + "9"; // some are of a version that takes none
                    relay.recordContact(other, now);
                }
            }
            relay.expire(now);
            for (const auto& it : relay.all())
                alive[it.failureDomain] += it.serving && !it.forwarding.empty() ? 1 : 0;
            auto update = relay.changesSince(revision, "a");
            follower.apply(update, now);
            revision = update.revision;
            std::map<std::string, std::size_t> known;
            auto listed = relay.all();
            for (const auto& target : follower.forwardingTargets(now)) {
                RC_ASSERT(std::find(listed.begin(), listed.end(), target) != listed.end());
                RC_ASSERT(follower.find(target.control) != nullptr);
                ++known[target.failureDomain];
            }
            for (const auto& [domain, n] : alive)
                RC_ASSERT(known[domain] >= std::min(enough, n));
        }
    });
    CHECK(held);
    Members follower(member(250, "a"));
    CHECK(follower.forwardingTargets(start).empty());
}

// Each change of the list goes to all followers of other failure domains.
TEST_CASE("While a large fleet is restarted one gateway after the other, the gateways known to other failure domains change a bounded number of times")
{
    constexpr int perDomain = 60;
    constexpr int expectedTargets = 12; // of each other domain
    const std::vector<std::string> domains { "a", "b", "c" };
    Members relay(member(1));
    auto gateway = [&](int index, std::int64_t startedMs) {
        auto it = member(index + 2, domains[static_cast<std::size_t>(index) % domains.size()]);
        it.forwarding = it.control + "9";
        it.startedMs = startedMs;
        return it;
    };
    auto count = perDomain * static_cast<int>(domains.size());
    for (int i = 0; i < count; ++i)
        relay.recordContact(gateway(i, 1), start);
    auto revision = relay.changesSince(0, "a").revision;
    auto changes = 0;
    auto follow = [&] {
        auto update = relay.changesSince(revision, "a");
        revision = update.revision;
        changes += update.remoteTargets ? 1 : 0;
        if (update.remoteTargets)
            CHECK(update.remoteTargets->size() == static_cast<std::size_t>(expectedTargets) * (domains.size() - 1));
    };
    for (int i = 0; i < count; ++i) {
        auto stopping = gateway(i, 1);
        stopping.serving = false;
        relay.recordContact(stopping, start);
        follow();
        relay.recordContact(gateway(i, 2), start);
        follow();
    }
    CAPTURE(changes);
    // Once when a gateway of the list stops, once when it is back.
    CHECK(changes <= 2 * expectedTargets * static_cast<int>(domains.size()));
}

TEST_CASE("Gateways that nothing has been heard of for long get forwarded requests only if there are no others")
{
    Members members(member(1));
    auto target = [](int number) {
        auto it = member(number);
        it.forwarding = it.control + "9";
        return it;
    };
    members.recordContact(target(2), start);
    auto later = start + std::chrono::minutes(1);
    CHECK(members.forwardingTargets(later) == std::vector { target(2) });
    members.recordContact(target(3), later);
    CHECK(members.forwardingTargets(later) == std::vector { target(3) });
}
