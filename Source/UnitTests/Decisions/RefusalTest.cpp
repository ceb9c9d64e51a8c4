#include "Decisions/Refusal.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Decisions::RefusalReason;

struct Case {
    std::string name;
    RefusalReason reason;
    double timeLeftMs;
    double excessMs;
    double minMs;
    double maxMs;
    double pauseLeftMs = 0;
};

const Case cases[] = {
    { "no configuration yet", RefusalReason::NotConfigured, 3000, 0, 150, 450 },
    { "no probed server answers", RefusalReason::NoReport, 3000, 0, 50, 150 },
    { "busy, no delay known: near the minimum, with jitter", RefusalReason::Busy, 3000, 0, 30, 45 },
    { "busy: spread around the time until a server has capacity", RefusalReason::Busy, 3000, 400, 200, 600 },
    { "all servers pause: never before the first one is back", RefusalReason::Paused, 3000, 0, 800, 1000, 800 },
    { "all servers pause for longer than callers wait: the true time", RefusalReason::Paused, 300, 0, 2000, 2500, 2000 },
    { "all servers pause, the end is near: the minimum", RefusalReason::Paused, 3000, 0, 30, 30, 5 },
    { "memory used up: spread around a second, however little time is left", RefusalReason::Memory, 300, 0, 500, 1500 },
    { "at most a third of the time left, which is what callers honour", RefusalReason::Busy, 300, 400, 30, 100 },
};

}

TEST_CASE("Retry-After by reason")
{
    for (const auto& row : cases) {
        CAPTURE(row.name);
        for (double jitter : { 0.0, 0.5, 0.99 }) {
            auto ms = Common::toMilliseconds(
                Decisions::retryAfter({ .reason = row.reason, .timeLeftMs = row.timeLeftMs, .excessMs = row.excessMs, .pauseLeftMs = row.pauseLeftMs, .jitter = jitter }));
            CHECK(ms >= row.minMs);
            CHECK(ms <= row.maxMs);
        }
    }
}
