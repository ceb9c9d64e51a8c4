#include "Decisions/RetryAllowance.h"

#include <algorithm>

namespace Decisions {

RetryAllowance::Bucket& RetryAllowance::current(Common::TimePoint now)
{
    auto number = static_cast<std::int64_t>(now.time_since_epoch() / (m_options.window / static_cast<int>(buckets)));
    auto& bucket = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
    if (bucket.number != number)
        bucket = { .number = number, .requests = 0, .repeats = 0 };
    return bucket;
}

void RetryAllowance::onRequest(Common::TimePoint now)
{
    ++current(now).requests;
}

double RetryAllowance::left(Common::TimePoint now)
{
    auto newest = current(now).number;
    int requests = 0;
    int repeats = 0;
    for (const auto& bucket : m_buckets) {
        if (bucket.number < 0 || newest - bucket.number > static_cast<std::int64_t>(buckets))
            continue;
        requests += bucket.requests;
        repeats += bucket.repeats;
    }
    return m_options.margin * (m_options.ratio * requests + m_options.slack / std::max(1, m_options.entries)) - repeats;
}

bool RetryAllowance::take(Common::TimePoint now)
{
    if (left(now) < 1)
        return false;
    ++current(now).repeats;
    return true;
}

}
