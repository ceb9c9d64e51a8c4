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
constexpr double capacity = 2400; // answers per second
constexpr auto warmUp = std::chrono::seconds(2);
constexpr auto length = std::chrono::seconds(6);

struct Completion {
    TimePoint at;
    bool answered;
    Duration took;
    bool operator>(const Completion& other) const { return at > other.at; }
};

template <typename T>
using MinQueue = std::priority_queue<T, std::vector<T>, std::greater<>>;

struct LoadCase {
    std::string name;
    double load; // as a multiple of the capacity
    Duration deadline;
    bool admissionControl;
    double minGoodput; // as a share of the smaller of load and capacity
    double maxGoodput;
};

// Simulates backend servers with one shared queue. They process every request, also after its deadline, which is the worst
// case.
double goodput(const LoadCase& row)
{
    std::mt19937_64 generator(1);
    std::exponential_distribution<double> gap(capacity * row.load);
    Decisions::Admission admission;
    Decisions::LatencyHistogram times;
    MinQueue<TimePoint> freeAt;
    for (int i = 0; i < slots; ++i)
        freeAt.push(TimePoint(std::chrono::hours(1)));
    MinQueue<Completion> completions;
    const auto begin = TimePoint(std::chrono::hours(1));
    int inTime = 0;
    for (auto now = begin; now < begin + length; now += Common::fromMilliseconds(1000 * gap(generator))) {
        while (!completions.empty() && completions.top().at <= now) {
            auto completion = completions.top();
            completions.pop();
            admission.finish(completion.at, completion.answered);
            if (!completion.answered)
                continue;
            times.add(completion.took);
            inTime += completion.at >= begin + warmUp ? 1 : 0;
        }
        auto median = times.quantile(0.5, 20).value_or(Duration::zero());
        if (row.admissionControl
            && !admission.admit({ .now = now, .timeLeft = row.deadline, .slots = slots, .medianAnswerTime = median }).admitted)
            continue;
        auto end = std::max(now, freeAt.top()) + serviceTime;
        freeAt.pop();
        freeAt.push(end);
        auto answered = end - now <= row.deadline;
        completions.push({ .at = answered ? end : now + row.deadline, .answered = answered, .took = end - now });
    }
    return inTime / (std::chrono::duration<double>(length - warmUp).count() * capacity * std::min(row.load, 1.0));
}

const LoadCase loads[] = {
    { "3x, 50 ms", 3, std::chrono::milliseconds(50), true, 0.9, 1.01 },
    { "3x, 200 ms", 3, std::chrono::milliseconds(200), true, 0.9, 1.01 },
    { "3x, 1 s", 3, std::chrono::seconds(1), true, 0.9, 1.01 },
    { "3x, 10 s", 3, std::chrono::seconds(10), true, 0.9, 1.01 },
    { "0.7x, 50 ms: nothing is refused", 0.7, std::chrono::milliseconds(50), true, 0.98, 1.02 },
    { "3x, 200 ms, without admission control", 3, std::chrono::milliseconds(200), false, 0, 0.1 },
};

}

TEST_CASE("goodput stays near the capacity under overload")
{
    for (const auto& row : loads) {
        CAPTURE(row.name);
        auto share = goodput(row);
        MESSAGE(row.name, ": ", share);
        CHECK(share >= row.minGoodput);
        CHECK(share <= row.maxGoodput);
    }
}

TEST_CASE("a burst after low load is admitted by the servers' capacity")
{
    Decisions::Admission admission;
    auto now = TimePoint(std::chrono::hours(1));
    int admitted = 0;
    while (admission.admit({ .now = now, .timeLeft = std::chrono::milliseconds(200), .slots = slots, .medianAnswerTime = serviceTime }).admitted)
        ++admitted;
    // 100 ms (half of the time left) at 2,400 answers per second.
    CHECK(admitted == 240);
}

TEST_CASE("a refusal gives the time until capacity is expected")
{
    Decisions::Admission admission;
    auto now = TimePoint(std::chrono::hours(1));
    Decisions::AdmissionRequest request { .now = now, .timeLeft = std::chrono::milliseconds(100), .slots = 1, .medianAnswerTime = std::chrono::seconds(1) };
    REQUIRE(admission.admit(request).admitted);
    auto refused = admission.admit(request);
    CHECK_FALSE(refused.admitted);
    CHECK(refused.retryAfter == std::chrono::milliseconds(1950));
    CHECK(admission.overloaded(now, 1));
    admission.finish(now, true);
    CHECK(admission.admit(request).admitted);
    CHECK_FALSE(admission.overloaded(now + std::chrono::seconds(2), 1));
}
