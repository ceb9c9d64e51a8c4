#pragma once

#include <cstddef>
#include <vector>

namespace Decisions {

// Smooth weighted round robin: distributes requests by weight so that even short runs of them are close to the weights.
class WeightedSplit {
public:
    // `phase` in [0, 1) shifts the start of the sequence, so that many instances do not all begin with the same index.
    explicit WeightedSplit(std::vector<double> weights, double phase = 0);

    // Index of the weight that gets the next request; 0 when there are no weights.
    std::size_t next();
    const std::vector<double>& weights() const { return m_weights; }

private:
    std::vector<double> m_weights;
    std::vector<double> m_credit;
    double m_total = 0;
};

}
