#pragma once

#include <string>
#include <vector>

namespace Bench {

struct SlopePoint {
    double x = 0;
    double y = 0;
};

// How one quantity grows with another.
struct Slope {
    std::string name; // also the name of its files
    std::string xLabel;
    std::string yLabel;
    std::vector<SlopePoint> points;
};

// y = base + perUnit * x, by least squares.
struct SlopeFit {
    double base = 0;
    double perUnit = 0;
};

SlopeFit fitSlope(const std::vector<SlopePoint>&);

// One CSV and one SVG plot for each slope, into a folder that is made if absent; false when a file could not be written.
bool writeSlopes(const std::string& folder, const std::vector<Slope>&);

// A line for each slope: what it is, what one more unit costs.
std::string slopeTable(const std::vector<Slope>&);

}
