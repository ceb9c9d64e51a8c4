#include "Decisions/WeightedSplit.h"

#include <algorithm>
#include <numeric>

namespace Decisions {

WeightedSplit::WeightedSplit(std::vector<double> weights, double phase)
    : m_weights(std::move(weights))
    , m_credit(m_weights.size())
    , m_total(std::accumulate(m_weights.begin(), m_weights.end(), 0.0))
{
    // The credits start as if some requests had already been distributed: they sum to zero and lie within one round.
    if (m_total <= 0)
        return;
    auto point = phase * m_total;
    for (std::size_t i = 0; i < m_weights.size(); ++i) {
        auto isStart = point >= 0 && point < m_weights[i];
        m_credit[i] = m_weights[i] * phase - (isStart ? m_total * phase : 0);
        point -= m_weights[i];
    }
}

std::size_t WeightedSplit::next()
{
    if (m_weights.empty())
        return 0;
    for (std::size_t i = 0; i < m_weights.size(); ++i)
        m_credit[i] += m_weights[i];
    auto it = std::max_element(m_credit.begin(), m_credit.end());
    *it -= m_total;
    return static_cast<std::size_t>(it - m_credit.begin());
}

}
