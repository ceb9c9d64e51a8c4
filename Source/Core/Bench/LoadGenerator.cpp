#include "Bench/LoadGenerator.h"

#include <algorithm>
#include <memory>
#include <thread>

#include "Bench/CallerLoop.h"

namespace Bench {

LoadResult runLoad(const LoadOptions& options, const std::function<void(Common::TimePoint)>& atStart)
{
    std::vector<std::unique_ptr<CallerLoop>> loops;
    for (int i = 0; i < options.loops; ++i)
        loops.push_back(std::make_unique<CallerLoop>(options, i));
    if (options.useDirectory) {
        for (auto& loop : loops)
            loop->prepare();
    }
    constexpr auto headStart = std::chrono::milliseconds(300);
    auto start = Common::TimePoint(std::chrono::steady_clock::now()) + headStart;
    if (atStart)
        atStart(start);
    for (auto& loop : loops)
        loop->start(start);
    LoadResult result { .calls = {}, .services = options.services };
    for (auto& loop : loops) {
        loop->join();
        auto& records = loop->records();
        result.calls.insert(result.calls.end(), std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
        result.connections += loop->connections();
    }
    return result;
}

double quantileMs(std::vector<Common::Duration> durations, double q)
{
    if (durations.empty())
        return 0;
    auto rank = static_cast<std::size_t>(q * static_cast<double>(durations.size() - 1));
    std::nth_element(durations.begin(), durations.begin() + static_cast<std::ptrdiff_t>(rank), durations.end());
    return Common::toMilliseconds(durations[rank]);
}

}
