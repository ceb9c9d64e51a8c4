#include "Decisions/Refusal.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Decisions::RefusalReason;

struct Case {
    std::string what;
    RefusalReason reason;
    double timeLeftMs;
    double excessMs;
    double lowMs;
    double highMs;
};

const Case cases[] = {
    { "no configuration yet", RefusalReason::NotConfigured, 3000, 0, 150, 450 },
    { "no server answers", RefusalReason::NoReport, 3000, 0, 50, 150 },
    { "busy: soon, and spread", RefusalReason::Busy, 3000, 0, 30, 45 },
    { "busy for long: spread over the time until there is room", RefusalReason::Busy, 3000, 400, 200, 600 },
    { "never beyond what callers honour", RefusalReason::Busy, 300, 400, 30, 100 },
};

}

TEST_CASE("Retry-After by reason")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        for (double jitter : { 0.0, 0.5, 0.99 }) {
            auto ms = Common::toMilliseconds(Decisions::retryAfter({ .reason = row.reason, .timeLeftMs = row.timeLeftMs, .excessMs = row.excessMs, .jitter = jitter }));
            CHECK(ms >= row.lowMs);
            CHECK(ms <= row.highMs);
        }
    }
}
