#include "Bench/Compare.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <json/json.h>

namespace Bench {

namespace {

    std::vector<std::string> labelsOf(const std::vector<Sample>& samples)
    {
        std::vector<std::string> labels;
        for (const auto& sample : samples) {
            if (std::find(labels.begin(), labels.end(), sample.label) == labels.end())
                labels.push_back(sample.label);
        }
        return labels;
    }

    double median(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[values.size() / 2];
    }

    template <typename Value>
    std::vector<double> valuesOf(const std::vector<Sample>& samples, const std::string& label, Value value)
    {
        std::vector<double> values;
        for (const auto& sample : samples) {
            if (sample.label == label)
                values.push_back(value(sample));
        }
        return values;
    }

    // p99 of `label` over that of `base`, seed by seed: only runs of one seed had the same arrivals.
    std::vector<double> ratios(const std::vector<Sample>& samples, const std::string& label, const std::string& base)
    {
        std::vector<double> values;
        for (const auto& sample : samples) {
            for (const auto& other : samples) {
                if (sample.label == label && other.label == base && other.seed == sample.seed && other.p99Ms > 0)
                    values.push_back(sample.p99Ms / other.p99Ms);
            }
        }
        return values;
    }

    Sample toSample(const Json::Value& json, const std::string& label)
    {
        return {
            .label = label,
            .seed = json["seed"].asUInt64(),
            .p50Ms = json["p50_ms"].asDouble(),
            .p99Ms = json["p99_ms"].asDouble(),
            .p999Ms = json["p999_ms"].asDouble(),
            .probeCostShare = json["probe_cost_share"].asDouble(),
            .lagP99Ms = json["lag_p99_ms"].asDouble(),
            .ok = json["ok"].asBool(),
        };
    }

    bool parse(const std::string& line, Json::Value& json)
    {
        std::istringstream in(line);
        return Json::parseFromStream(Json::CharReaderBuilder(), in, &json, nullptr) && json.isObject();
    }

}

std::vector<Sample> comparePolicies(const CompareOptions& options)
{
    std::vector<Sample> samples;
    for (int round = 0; round < options.rounds; ++round) {
        for (const auto& policy : options.policies) {
            auto run = options.run;
            run.policy = policy;
            run.seed += static_cast<std::uint64_t>(round);
            Json::Value json;
            if (parse(reportJson(runScenario(run)), json))
                samples.push_back(toSample(json, policy));
        }
    }
    return samples;
}

std::vector<Sample> readSamples(const std::string& file)
{
    auto split = file.find('=');
    std::vector<Sample> samples;
    std::ifstream in(split == std::string::npos ? file : file.substr(split + 1));
    std::string line;
    Json::Value json;
    while (std::getline(in, line)) {
        if (parse(line, json))
            samples.push_back(toSample(json, file.substr(0, split)));
    }
    return samples;
}

std::string compareTable(const std::vector<Sample>& samples)
{
    auto labels = labelsOf(samples);
    auto text = fmt::format("{:<16}{:>6}{:>10}{:>10}{:>11}{:>13}{:>10}{:>24}\n", "", "runs", "p50 ms", "p99 ms", "p99.9 ms", "probe cost", "not ok", "p99 over first (spread)");
    for (const auto& label : labels) {
        auto p99 = valuesOf(samples, label, [](const auto& sample) { return sample.p99Ms; });
        auto notOk = valuesOf(samples, label, [](const auto& sample) { return sample.ok ? 0 : 1; });
        auto ratio = ratios(samples, label, labels.front());
        auto [least, most] = std::minmax_element(ratio.begin(), ratio.end());
        auto spread = ratio.empty() ? std::string("-") : fmt::format("{:.2f} ({:.2f}..{:.2f})", median(ratio), *least, *most);
        text += fmt::format("{:<16}{:>6}{:>10.1f}{:>10.1f}{:>11.1f}{:>13.5f}{:>10}{:>24}\n", label, p99.size(),
            median(valuesOf(samples, label, [](const auto& sample) { return sample.p50Ms; })), median(p99),
            median(valuesOf(samples, label, [](const auto& sample) { return sample.p999Ms; })),
            median(valuesOf(samples, label, [](const auto& sample) { return sample.probeCostShare; })),
            std::count(notOk.begin(), notOk.end(), 1), spread);
    }
    return text;
}

std::string compareCsv(const std::vector<Sample>& samples)
{
    std::string text = "label,seed,p50_ms,p99_ms,p999_ms,probe_cost_share,lag_p99_ms,ok\n";
    for (const auto& sample : samples)
        text += fmt::format("{},{},{:.3f},{:.3f},{:.3f},{:.6f},{:.3f},{}\n", sample.label, sample.seed, sample.p50Ms, sample.p99Ms, sample.p999Ms, sample.probeCostShare, sample.lagP99Ms, sample.ok);
    return text;
}

std::string compareSvg(const std::vector<Sample>& samples, const std::string& title)
{
    constexpr double columnWidth = 120;
    constexpr double left = 60;
    constexpr double top = 40;
    constexpr double height = 300;
    constexpr double decades = 4; // 1 ms to 10 s
    auto y = [](double ms) { return top + height * (1 - std::clamp(std::log10(std::max(ms, 1.0)) / decades, 0.0, 1.0)); };
    auto labels = labelsOf(samples);
    auto width = left + columnWidth * static_cast<double>(labels.size());
    auto text = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"{}\" y=\"20\">{}: p99 in ms, one dot a run</text>\n", width + left, top + height + 40, left, title);
    for (int decade = 0; decade <= static_cast<int>(decades); ++decade) {
        auto ms = std::pow(10.0, decade);
        text += fmt::format("<line x1=\"{0}\" x2=\"{1}\" y1=\"{2}\" y2=\"{2}\" stroke=\"#ccc\"/><text x=\"8\" y=\"{2}\">{3}</text>\n", left, width, y(ms), ms);
    }
    for (std::size_t column = 0; column < labels.size(); ++column) {
        auto x = left + columnWidth * (static_cast<double>(column) + 0.5);
        auto p99 = valuesOf(samples, labels[column], [](const auto& sample) { return sample.p99Ms; });
        for (auto ms : p99)
            text += fmt::format("<circle cx=\"{}\" cy=\"{}\" r=\"4\" fill=\"#37c\"/>\n", x, y(ms));
        text += fmt::format("<line x1=\"{0}\" x2=\"{1}\" y1=\"{2}\" y2=\"{2}\" stroke=\"#c33\" stroke-width=\"2\"/>\n", x - 20, x + 20, y(median(p99)));
        text += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{}</text>\n", x, top + height + 20, labels[column]);
    }
    return text + "</svg>\n";
}

bool writeComparison(const std::string& folder, const std::vector<Sample>& samples, const std::string& title)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    std::ofstream csv(folder + "/compare.csv");
    std::ofstream svg(folder + "/compare.svg");
    csv << compareCsv(samples);
    svg << compareSvg(samples, title);
    return csv.good() && svg.good();
}

}
