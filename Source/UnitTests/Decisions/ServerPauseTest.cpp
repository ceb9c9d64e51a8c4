#include "Decisions/ServerPause.h"

#include <string>

#include <doctest/doctest.h>

namespace {

using std::chrono::milliseconds;

struct HeaderCase {
    std::string text;
    std::optional<Common::Duration> pause;
};

const HeaderCase headerCases[] = {
    { "2", milliseconds(2000) },
    { "0.25", milliseconds(250) },
    { "0", milliseconds(0) },
    { "86400", Decisions::maxServerPause },
    { "1e999", Decisions::maxServerPause },
    { "", std::nullopt },
    { "-1", std::nullopt },
    { "nan", std::nullopt },
    { "inf", std::nullopt },
    { "soon", std::nullopt },
    { "2 s", std::nullopt },
    { "Fri, 04 Dec 2026 09:00:00 GMT", std::nullopt },
};

}

TEST_CASE("Retry-After of a server: seconds with fractions, bounded; anything else is ignored")
{
    for (const auto& row : headerCases) {
        CAPTURE(row.text);
        CHECK((Decisions::parsePause(row.text) == row.pause));
    }
}

TEST_CASE("A pause ends by itself; a later answer extends it but never shortens it")
{
    Decisions::ServerPause pause;
    auto start = Common::TimePoint(std::chrono::hours(1));
    CHECK(!pause.isActive(start));
    pause.extend(milliseconds(1000), start);
    pause.extend(milliseconds(200), start + milliseconds(100));
    CHECK(pause.isActive(start + milliseconds(999)));
    CHECK(pause.timeLeft(start + milliseconds(400)) == milliseconds(600));
    CHECK(!pause.isActive(start + milliseconds(1000)));
    pause.extend(milliseconds(1000), start + milliseconds(900));
    CHECK(pause.timeLeft(start + milliseconds(1000)) == milliseconds(900));
    CHECK(pause.timeLeft(start + milliseconds(5000)) == Common::Duration::zero());
}
