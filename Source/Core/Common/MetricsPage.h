#pragma once

#include <string>
#include <string_view>

#include "Common/LatencySummary.h"

namespace Common {

// Prometheus' text format, built up metric by metric.
class MetricsPage {
public:
    // One value of a counter or gauge; `labels` as in `service="puzzle"`, may be empty.
    void counter(std::string_view name, double value, std::string_view labels = {});
    void gauge(std::string_view name, double value, std::string_view labels = {});
    // Quantiles, sum and count in milliseconds.
    void summary(std::string_view name, const LatencyQuantiles&);

    const std::string& text() const { return m_text; }

private:
    void value(std::string_view type, std::string_view name, double value, std::string_view labels);

    std::string m_text;
    std::string m_lastName;
};

}
