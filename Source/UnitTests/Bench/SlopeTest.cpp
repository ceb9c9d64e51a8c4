#include "Bench/Slope.h"

#include <doctest/doctest.h>

namespace {

struct Case {
    const char* what;
    std::vector<Bench::SlopePoint> points;
    double base;
    double perUnit;
};

const Case cases[] = {
    { "none", {}, 0, 0 },
    { "one point", { { 5, 7 } }, 7, 0 },
    { "a line", { { 0, 10 }, { 10, 30 }, { 20, 50 } }, 10, 2 },
    { "around a line", { { 0, 1 }, { 2, 1 }, { 2, 3 }, { 4, 3 } }, 1, 0.5 },
};

}

TEST_CASE("a slope is fitted by least squares")
{
    for (const auto& row : cases) {
        CAPTURE(row.what);
        auto fit = Bench::fitSlope(row.points);
        CHECK(fit.base == doctest::Approx(row.base));
        CHECK(fit.perUnit == doctest::Approx(row.perUnit));
    }
}
