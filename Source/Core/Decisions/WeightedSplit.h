#pragma once

#include <cstddef>
#include <vector>

namespace Decisions {

// Deals requests out by weights so that every short run of them is close to the weights: smooth weighted round robin.
class WeightedSplit {
public:
    // `phase` in [0, 1) moves the start, so that many splitters do not all begin with the same part.
    explicit WeightedSplit(std::vector<double> weights, double phase = 0);

    // Index of the part that gets the next request.
    std::size_t next();
    const std::vector<double>& weights() const { return m_weights; }

private:
    std::vector<double> m_weights;
    std::vector<double> m_credit;
    double m_total = 0;
};

}
