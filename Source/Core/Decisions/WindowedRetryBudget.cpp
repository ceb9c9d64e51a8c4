#include "Decisions/WindowedRetryBudget.h"

#include <algorithm>

namespace Decisions {

WindowedRetryBudget::Bucket& WindowedRetryBudget::current(Common::TimePoint now)
{
    auto number = static_cast<std::int64_t>(now.time_since_epoch() / (m_options.window / static_cast<int>(bucketsPerWindow)));
    auto& bucket = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
    if (bucket.number != number)
        bucket = { .number = number, .requests = 0, .retries = 0 };
    return bucket;
}

void WindowedRetryBudget::onRequest(Common::TimePoint now)
{
    ++current(now).requests;
}

void WindowedRetryBudget::onRequestHandedOver(Common::TimePoint now)
{
    --current(now).requests;
}

double WindowedRetryBudget::available(Common::TimePoint now)
{
    auto newest = current(now).number;
    int requests = 0;
    int retries = 0;
    for (const auto& bucket : m_buckets) {
        if (bucket.number < 0 || newest - bucket.number > static_cast<std::int64_t>(bucketsPerWindow))
            continue;
        requests += bucket.requests;
        retries += bucket.retries;
    }
    return m_options.margin * (m_options.ratio * requests + m_options.slack / std::max(1, m_options.entries)) - retries;
}

bool WindowedRetryBudget::take(Common::TimePoint now)
{
    if (available(now) < 1)
        return false;
    ++current(now).retries;
    return true;
}

}
