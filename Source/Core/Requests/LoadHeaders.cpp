#include "Requests/LoadHeaders.h"

#include <cstdio>

#include "Requests/Call.h"

namespace Requests {

std::optional<Decisions::LoadReport> loadReport(const std::vector<Backends::Header>& headers)
{
    Decisions::LoadReport report;
    report.draining = headerOf(headers, "Cowslipledge-State") == "draining";
    auto load = headerOf(headers, "Cowslipledge-Load");
    auto fields = std::sscanf(load.c_str(), "in_flight=%d;slots=%d", &report.inFlight, &report.slots);
    constexpr int expectedFields = 2;
    if (fields != expectedFields && !report.draining)
        return std::nullopt;
    return report;
}

}
