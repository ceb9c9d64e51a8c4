#include "Soak/OrganisationChecks.h"

#include <functional>

#include <doctest/doctest.h>

// Guards against a soak that passes because its checks find nothing, or that reports what is allowed.

namespace {

using namespace Soak;
using Common::TimePoint;
using PlatformStandIn::ServerEvent;
using std::chrono::milliseconds;

constexpr int openKey = 5; // of "open", without a limit
constexpr int narrowKey = 3; // of "narrow"

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

Change change(int ms)
{
    return { .asked = at(ms), .acknowledged = at(ms + 10) };
}

struct Case {
    std::string what;
    std::function<void(OrganisationHistory&, Evidence&)> happens;
    std::optional<Promise> broken;
};

// A request that was sent at a time and arrives and runs 10 ms later.
void request(Evidence& evidence, int sentMs, int key, const std::string& organisation, bool isPublic = false, int status = 200)
{
    auto id = std::to_string(evidence.outcomes.size());
    evidence.outcomes.push_back({ .id = id, .isPublic = isPublic, .key = key, .status = status, .gateway = "g", .sent = at(sentMs), .ended = at(sentMs + 20) });
    std::vector<std::string> organisations;
    if (!organisation.empty())
        organisations.push_back(organisation);
    for (auto event : { ServerEvent::Arrival, ServerEvent::Run }) {
        if (status == 200)
            evidence.sightings.push_back({ .at = at(sentMs + 10), .event = event, .id = id, .key = key, .isPublic = isPublic, .organisations = organisations });
    }
}

void requests(Evidence& evidence, int count, int fromMs, int intervalMs, int key, const std::string& organisation)
{
    for (int i = 0; i < count; ++i)
        request(evidence, fromMs + i * intervalMs, key, organisation);
}

void revoke(OrganisationHistory& history, int key, int ms)
{
    history.setValid(key, false);
    history.record(change(ms));
}

void evacuate(Evidence& evidence, int fromMs, int toMs)
{
    evidence.evacuations["a"].push_back({ .begin = change(fromMs), .end = change(toMs) });
}

const Case cases[] = {
    { "valid key", [](auto&, auto& it) { request(it, 1000, openKey, "open"); }, {} },
    { "public route", [](auto&, auto& it) { request(it, 1000, noKey, "", true); }, {} },
    { "key that arrives", [](auto&, auto& it) { request(it, 1000, openKey, "open"); it.sightings.front().containsKey = true; }, Promise::KeyStaysHidden },
    { "another organisation", [](auto&, auto& it) { request(it, 1000, openKey, "ample"); }, Promise::OrganisationIsNamed },
    { "organisation on a public route", [](auto&, auto& it) { request(it, 1000, openKey, "open", true); }, Promise::OrganisationIsNamed },
    { "no key", [](auto&, auto& it) { request(it, 1000, noKey, ""); }, Promise::KeyIsKnown },
    { "key that was never added", [](auto&, auto& it) { request(it, 1000, 20, "open"); }, Promise::KeyIsKnown },
    { "key before it is added", [](auto& history, auto& it) { history.addKey(); history.record(change(2000)); request(it, 1000, 15, "open"); }, Promise::KeyIsKnown },
    { "revoked key in its time", [](auto& history, auto& it) { revoke(history, openKey, 1000); request(it, 4000, openKey, "open"); }, {} },
    { "revoked key after its time", [](auto& history, auto& it) { revoke(history, openKey, 1000); request(it, 4020, openKey, "open"); }, Promise::RevokedKeyEnds },
    { "key that was added again", [](auto& history, auto& it) { revoke(history, openKey, 1000); history.setValid(openKey, true); history.record(change(3000)); request(it, 5000, openKey, "open"); }, {} },
    { "as many as allowed", [](auto&, auto& it) { requests(it, 185, 1000, 25, narrowKey, "narrow"); }, {} },
    { "more than allowed", [](auto&, auto& it) { requests(it, 186, 1000, 25, narrowKey, "narrow"); }, Promise::AllowanceHolds },
    { "more than allowed, but no limit", [](auto&, auto& it) { requests(it, 400, 1000, 10, openKey, "open"); }, {} },
    { "lowered limit, within the time until it is in force", [](auto& history, auto& it) { history.setLimit(3, 2, 2); history.record(change(1000)); requests(it, 50, 3000, 20, narrowKey, "narrow"); }, {} },
    { "lowered limit", [](auto& history, auto& it) { history.setLimit(3, 2, 2); history.record(change(1000)); requests(it, 50, 4100, 20, narrowKey, "narrow"); }, Promise::AllowanceHolds },
    { "evacuation within its time", [](auto&, auto& it) { evacuate(it, 1000, 9000); request(it, 6000, openKey, "open"); }, {} },
    { "evacuation after its time", [](auto&, auto& it) { evacuate(it, 1000, 9000); request(it, 6010, openKey, "open"); }, Promise::EvacuatedGetsNothing },
    { "load probe after its time", [](auto&, auto& it) { evacuate(it, 1000, 9000); it.sightings.push_back({ .at = at(7000), .event = ServerEvent::Probe }); }, Promise::EvacuatedGetsNothing },
    { "evacuation that ended", [](auto&, auto& it) { evacuate(it, 1000, 9000); request(it, 9000, openKey, "open"); }, {} },
    { "evacuation, gateway was frozen", [](auto&, auto& it) { evacuate(it, 1000, 9000); it.blind["g"].push_back({ .from = at(500), .to = at(2000) }); request(it, 6900, openKey, "open"); }, {} },
    { "evacuation, gateway froze when it knew", [](auto&, auto& it) { evacuate(it, 1000, 9000); it.blind["g"].push_back({ .from = at(6100), .to = at(8000) }); request(it, 8500, openKey, "open"); }, Promise::EvacuatedGetsNothing },
    { "cold server at its rate", [](auto&, auto& it) { it.cold = { { { .from = at(0), .to = at(5000) } } }; requests(it, 60, 1000, 50, openKey, "open"); }, {} },
    { "cold server beyond its rate", [](auto&, auto& it) { it.cold = { { { .from = at(0), .to = at(5000) } } }; requests(it, 60, 1000, 45, openKey, "open"); }, Promise::ColdIsSpared },
    { "server that was cold", [](auto&, auto& it) { it.cold = { { { .from = at(0), .to = at(1000) } } }; requests(it, 60, 1000, 45, openKey, "open"); }, {} },
    { "401 without a key", [](auto&, auto& it) { request(it, 1000, noKey, "", false, 401); }, {} },
    { "401 with a valid key", [](auto&, auto& it) { request(it, 3000, openKey, "", false, 401); }, Promise::RejectionIsCertain },
    { "401 on a public route", [](auto&, auto& it) { request(it, 3000, noKey, "", true, 401); }, Promise::RejectionIsCertain },
    { "401 with a new key, while it need not be in force", [](auto& history, auto& it) { history.addKey(); history.record(change(2000)); request(it, 4000, 15, "", false, 401); }, {} },
    { "401 with a key that is being revoked", [](auto& history, auto& it) { revoke(history, openKey, 5010); request(it, 5000, openKey, "", false, 401); }, {} },
    { "429 with a limit", [](auto&, auto& it) { request(it, 1000, narrowKey, "", false, 429); }, {} },
    { "429 without a limit", [](auto&, auto& it) { request(it, 1000, openKey, "", false, 429); }, Promise::OnlyLimitedAreLimited },
};

}

TEST_CASE("Soak: what servers and callers saw is judged by the promises")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        OrganisationHistory history;
        history.record(change(0));
        Evidence evidence { .domains = { "a" } };
        row.happens(history, evidence);
        Coverage coverage;
        auto findings = findBroken(history, evidence, coverage);
        CHECK(findings.size() == (row.broken ? 1 : 0));
        if (row.broken && findings.size() == 1)
            CHECK(Common::nameOf(promiseNames, findings.front().promise) == Common::nameOf(promiseNames, *row.broken));
    }
}

TEST_CASE("Soak: callers send valid keys, keys that are to come, and what is no key, and tell which")
{
    OrganisationHistory history;
    history.record(change(0));
    std::mt19937_64 random(1);
    int valid = 0;
    int later = 0;
    int none = 0;
    constexpr int draws = 3000;
    for (int i = 0; i < draws; ++i) {
        Outcome outcome;
        auto fields = history.vary(random, outcome);
        auto number = std::find_if(fields.begin(), fields.end(), [](const auto& it) { return it.first == keyNumberHeader; });
        CHECK((number != fields.end()) == (outcome.key != noKey));
        if (number != fields.end())
            CHECK(number->second == std::to_string(outcome.key));
        (outcome.key == noKey ? none : outcome.key < history.keyCount() ? valid
                                                                        : later)++;
    }
    CHECK(valid > draws / 2);
    CHECK(later > 10);
    CHECK(none > 100);
}
