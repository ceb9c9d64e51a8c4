#include "Common/MetricsPage.h"

#include <utility>

#include <fmt/format.h>

namespace Common {

void MetricsPage::counter(std::string_view name, double number, std::string_view labels)
{
    value("counter", name, number, labels);
}

void MetricsPage::gauge(std::string_view name, double number, std::string_view labels)
{
    value("gauge", name, number, labels);
}

void MetricsPage::summary(std::string_view name, const LatencyQuantiles& quantiles)
{
    const std::pair<const char*, double> rows[] = {
        { "0.5", quantiles.p50Ms },
        { "0.9", quantiles.p90Ms },
        { "0.99", quantiles.p99Ms },
        { "0.999", quantiles.p999Ms },
    };
    m_text += fmt::format("# TYPE cowslipledge_{} summary\n", name);
    for (const auto& [quantile, ms] : rows)
        m_text += fmt::format("cowslipledge_{}{{quantile=\"{}\"}} {}\n", name, quantile, ms);
    m_text += fmt::format("cowslipledge_{0}_sum {1}\ncowslipledge_{0}_count {2}\n", name, quantiles.sumMs, quantiles.count);
}

void MetricsPage::value(std::string_view type, std::string_view name, double number, std::string_view labels)
{
    if (m_lastName != name)
        m_text += fmt::format("# TYPE cowslipledge_{} {}\n", name, type);
    m_lastName = name;
    if (labels.empty())
        m_text += fmt::format("cowslipledge_{} {}\n", name, number);
    else
        m_text += fmt::format("cowslipledge_{}{{{}}} {}\n", name, labels, number);
}

}
