#include "Bench/Slope.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>

namespace Bench {

namespace {

    constexpr double plotWidth = 640;
    constexpr double plotHeight = 400;
    constexpr double plotMargin = 70;

    double largest(const std::vector<SlopePoint>& points, double SlopePoint::*axis)
    {
        double most = 0;
        for (const auto& point : points)
            most = std::max(most, point.*axis);
        return most > 0 ? most : 1;
    }

    std::string plot(const Slope& slope)
    {
        auto fit = fitSlope(slope.points);
        auto mostX = largest(slope.points, &SlopePoint::x);
        auto mostY = largest(slope.points, &SlopePoint::y);
        auto toX = [&](double x) { return plotMargin + x / mostX * (plotWidth - 2 * plotMargin); };
        auto toY = [&](double y) { return plotHeight - plotMargin - y / mostY * (plotHeight - 2 * plotMargin); };
        auto svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" font-family=\"sans-serif\" font-size=\"13\">\n"
                               "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
            plotWidth, plotHeight);
        svg += fmt::format("<path d=\"M{0} {1} V{2} H{3}\" stroke=\"black\" fill=\"none\"/>\n", plotMargin, plotMargin, plotHeight - plotMargin, plotWidth - plotMargin);
        svg += fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"steelblue\"/>\n", toX(0), toY(fit.base), toX(mostX), toY(fit.base + fit.perUnit * mostX));
        for (const auto& point : slope.points)
            svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"4\" fill=\"firebrick\"/>\n", toX(point.x), toY(point.y));
        svg += fmt::format("<text x=\"{}\" y=\"30\" text-anchor=\"middle\">{}: {:.4g} + {:.4g} each</text>\n", plotWidth / 2, slope.name, fit.base, fit.perUnit);
        svg += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{} (to {:.4g})</text>\n", plotWidth / 2, plotHeight - plotMargin / 3, slope.xLabel, mostX);
        svg += fmt::format("<text x=\"20\" y=\"{0}\" text-anchor=\"middle\" transform=\"rotate(-90 20 {0})\">{1} (to {2:.4g})</text>\n</svg>\n", plotHeight / 2, slope.yLabel, mostY);
        return svg;
    }

    std::string csv(const Slope& slope)
    {
        auto text = fmt::format("{},{}\n", slope.xLabel, slope.yLabel);
        for (const auto& point : slope.points)
            text += fmt::format("{},{}\n", point.x, point.y);
        return text;
    }

}

SlopeFit fitSlope(const std::vector<SlopePoint>& points)
{
    if (points.empty())
        return {};
    double meanX = 0;
    double meanY = 0;
    for (const auto& point : points) {
        meanX += point.x / static_cast<double>(points.size());
        meanY += point.y / static_cast<double>(points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const auto& point : points) {
        covariance += (point.x - meanX) * (point.y - meanY);
        variance += (point.x - meanX) * (point.x - meanX);
    }
    SlopeFit fit { .base = meanY, .perUnit = variance > 0 ? covariance / variance : 0 };
    fit.base -= fit.perUnit * meanX;
    return fit;
}

bool writeSlopes(const std::string& folder, const std::vector<Slope>& slopes)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    for (const auto& slope : slopes) {
        std::ofstream csvFile(folder + "/" + slope.name + ".csv");
        std::ofstream plotFile(folder + "/" + slope.name + ".svg");
        if (!(csvFile << csv(slope)) || !(plotFile << plot(slope)))
            return false;
    }
    return true;
}

std::string slopeTable(const std::vector<Slope>& slopes)
{
    std::string text;
    for (const auto& slope : slopes) {
        auto fit = fitSlope(slope.points);
        text += fmt::format("{:<28} {:>12.5g} {} at none, {:>12.5g} more for each of {}\n", slope.name, fit.base, slope.yLabel, fit.perUnit, slope.xLabel);
    }
    return text;
}

}
