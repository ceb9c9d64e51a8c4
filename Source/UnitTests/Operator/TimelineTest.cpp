#include "Operator/TimelineCommand.h"

#include <doctest/doctest.h>

#include "Operator/StatusCommand.h"

namespace {

struct SinceCase {
    const char* text;
    std::optional<std::int64_t> ms;
};

constexpr std::int64_t nowMs = 10'000'000;

const SinceCase sinceCases[] = {
    { "", 0 },
    { "30s", nowMs - 30'000 },
    { "10m", nowMs - 600'000 },
    { "2h", nowMs - 7'200'000 },
    { "1234", 1234 },
    { "-5s", std::nullopt },
    { "5d", std::nullopt },
    { "soon", std::nullopt },
};

}

TEST_CASE("the start of a time line is read")
{
    for (const auto& row : sinceCases) {
        CAPTURE(row.text);
        CHECK(Operator::parseSince(row.text, nowMs) == row.ms);
    }
}

TEST_CASE("events travel whole, in pages, filtered")
{
    Common::EventLog log({ .process = "ignored", .format = Common::LogFormat::Off });
    for (int i = 0; i < 2500; ++i)
        log.trace(Common::EventId::CallAttempt, { { "request", std::to_string(i % 2) }, { "service", "puzzle" } });
    Peers::EventsRequest request { .filter = { .request = "1" } };
    std::vector<Peers::TimelineEvent> events;
    bool more = true;
    while (more) {
        auto sent = Peers::toEventsRequest(Peers::toJson(request));
        auto page = Peers::toEventsPage(Peers::toJson(Peers::readEvents(log, "10.0.0.1:80", sent)));
        events.insert(events.end(), page.events.begin(), page.events.end());
        request.afterSequence = page.lastSequence;
        more = page.more;
    }
    REQUIRE(events.size() == 1250);
    CHECK(events.front().process == "10.0.0.1:80");
    CHECK(events.front().name == "call-attempt");
    CHECK(events.back().sequence == 2500);
    request = { .filter = { .service = "prize" } };
    CHECK(Peers::readEvents(log, "p", request).events.empty());
    request = { .filter = { .sinceMs = Common::wallMilliseconds() + 60'000 } };
    CHECK(Peers::readEvents(log, "p", request).events.empty());
}

TEST_CASE("events of several processes are put in causal order whatever their wall clocks say")
{
    std::vector<Peers::TimelineEvent> events {
        { .process = "b", .sequence = 1, .clock = 30, .wallMs = 5 },
        { .process = "a", .sequence = 1, .clock = 10, .wallMs = 900 },
        { .process = "a", .sequence = 2, .clock = 20, .wallMs = 901 },
    };
    Peers::sortCausally(events);
    CHECK(events[0].process == "a");
    CHECK(events[1].sequence == 2);
    CHECK(events[2].process == "b");
}

TEST_CASE("status tables name entries that did not answer and servers in every state")
{
    Operator::PeerAnswers answers;
    Json::Value status;
    status["address"] = "10.0.0.1:80";
    status["ready"] = true;
    status["revision"] = 7;
    Json::Value server;
    server["service"] = "puzzle";
    server["server"] = "10.1.0.1:80";
    server["state"] = "ejected";
    status["servers"].append(server);
    Json::Value service;
    service["service"] = "puzzle";
    service["carries"] = true;
    service["offered"] = true;
    service["probe_budget"] = 10;
    status["services"].append(service);
    answers.answered["10.0.0.1:81"] = status;
    answers.failed["10.0.0.2:81"] = "timed out";
    auto text = Operator::describeStatus(answers);
    for (const auto* expected : { "10.0.0.1:80", "ready", "no answer: timed out", "ejected (1)", "10.0" })
        CHECK(text.find(expected) != std::string::npos);
}
