#include "Decisions/Admission.h"

#include <queue>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "Decisions/LatencyHistogram.h"

namespace {

using Common::Duration;
using Common::TimePoint;

constexpr int slots = 24;
constexpr auto serviceTime = std::chrono::milliseconds(10);
constexpr double capacity = 2400; // answers a second
constexpr auto warmUp = std::chrono::seconds(2);
constexpr auto length = std::chrono::seconds(6);

struct Finish {
    TimePoint at;
    bool answered;
    Duration took;
    bool operator>(const Finish& other) const { return at > other.at; }
};

template <typename T>
using MinQueue = std::priority_queue<T, std::vector<T>, std::greater<>>;

struct LoadCase {
    std::string what;
    double load; // as a multiple of the capacity
    Duration deadline;
    bool bounded;
    double low; // goodput as a share of what can be had
    double high;
};

// Backend servers with one queue that work on every request sent, also after its deadline, as worst ones do.
double goodput(const LoadCase& row)
{
    std::mt19937_64 generator(1);
    std::exponential_distribution<double> gap(capacity * row.load);
    Decisions::Admission admission;
    Decisions::LatencyHistogram times;
    MinQueue<TimePoint> freeAt;
    for (int i = 0; i < slots; ++i)
        freeAt.push(TimePoint(std::chrono::hours(1)));
    MinQueue<Finish> finishes;
    const auto begin = TimePoint(std::chrono::hours(1));
    int inTime = 0;
    for (auto now = begin; now < begin + length; now += Common::fromMilliseconds(1000 * gap(generator))) {
        while (!finishes.empty() && finishes.top().at <= now) {
            auto finish = finishes.top();
            finishes.pop();
            admission.finish(finish.at, finish.answered);
            if (!finish.answered)
                continue;
            times.add(finish.took);
            inTime += finish.at >= begin + warmUp ? 1 : 0;
        }
        auto usual = times.quantile(0.5, 20).value_or(Duration::zero());
        if (row.bounded && !admission.admit({ .now = now, .timeLeft = row.deadline, .slots = slots, .usualTime = usual }).admitted)
            continue;
        auto end = std::max(now, freeAt.top()) + serviceTime;
        freeAt.pop();
        freeAt.push(end);
        auto answered = end - now <= row.deadline;
        finishes.push({ .at = answered ? end : now + row.deadline, .answered = answered, .took = end - now });
    }
    return inTime / (std::chrono::duration<double>(length - warmUp).count() * capacity * std::min(row.load, 1.0));
}

const LoadCase loads[] = {
    { "3x, 50 ms", 3, std::chrono::milliseconds(50), true, 0.9, 1.01 },
    { "3x, 200 ms", 3, std::chrono::milliseconds(200), true, 0.9, 1.01 },
    { "3x, 1 s", 3, std::chrono::seconds(1), true, 0.9, 1.01 },
    { "3x, 10 s", 3, std::chrono::seconds(10), true, 0.9, 1.01 },
    { "0.7x, 50 ms: nothing is refused", 0.7, std::chrono::milliseconds(50), true, 0.98, 1.02 },
    { "3x, 200 ms without the decision", 3, std::chrono::milliseconds(200), false, 0, 0.1 },
};

}

TEST_CASE("goodput under overload stays near the capacity")
{
    for (const auto& row : loads) {
        CAPTURE(row.what);
        auto share = goodput(row);
        MESSAGE(row.what, ": ", share);
        CHECK(share >= row.low);
        CHECK(share <= row.high);
    }
}

TEST_CASE("a burst after a quiet time is judged by what the servers can give")
{
    Decisions::Admission admission;
    auto now = TimePoint(std::chrono::hours(1));
    int admitted = 0;
    while (admission.admit({ .now = now, .timeLeft = std::chrono::milliseconds(200), .slots = slots, .usualTime = serviceTime }).admitted)
        ++admitted;
    // 100 ms of work at 2,400 a second.
    CHECK(admitted == 240);
}

TEST_CASE("a refusal says when to come back")
{
    Decisions::Admission admission;
    auto now = TimePoint(std::chrono::hours(1));
    Decisions::AdmissionRequest request { .now = now, .timeLeft = std::chrono::milliseconds(100), .slots = 1, .usualTime = std::chrono::seconds(1) };
    REQUIRE(admission.admit(request).admitted);
    auto refused = admission.admit(request);
    CHECK_FALSE(refused.admitted);
    CHECK(refused.retryAfter == std::chrono::milliseconds(1950));
    CHECK(admission.overloaded(now, 1));
    admission.finish(now, true);
    CHECK(admission.admit(request).admitted);
    CHECK_FALSE(admission.overloaded(now + std::chrono::seconds(2), 1));
}
