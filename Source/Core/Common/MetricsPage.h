#pragma once

#include <string>
#include <string_view>

#include "Common/LatencySummary.h"

namespace Common {

// Builds a page in the Prometheus text exposition format. Samples of one metric must be added one after the other.
class MetricsPage {
public:
    // Adds one sample of a counter or gauge. `labels` has the form `service="puzzle"` and may be empty.
    void counter(std::string_view name, double value, std::string_view labels = {});
    void gauge(std::string_view name, double value, std::string_view labels = {});
    // Adds quantiles and sum, both in milliseconds, and the count.
    void summary(std::string_view name, const LatencyQuantiles&);

    const std::string& text() const { return m_text; }

private:
    void value(std::string_view type, std::string_view name, double value, std::string_view labels);

    std::string m_text;
    std::string m_lastName;
};

}
