#include "Gateway/LoadReport.h"

#include <array>
#include <charconv>

namespace Gateway {

std::optional<LoadReport> parseLoadReport(std::string_view text, Common::TimePoint now)
{
    constexpr int maxCount = 1'000'000;
    constexpr std::size_t required = 3;
    constexpr double percent = 100;
    std::array<int, required + 1> figures { 0, 0, 1, static_cast<int>(percent) };
    std::size_t n = 0;
    while (!text.empty() && n < figures.size()) {
        auto end = std::min(text.find(','), text.size());
        while (!text.empty() && text.front() == ' ') {
            text.remove_prefix(1);
            --end;
        }
        auto [rest, ec] = std::from_chars(text.data(), text.data() + end, figures[n]);
        if (ec != std::errc() || figures[n] < 0 || figures[n] > maxCount)
            return std::nullopt;
        ++n;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (n < required)
        return std::nullopt;
    return LoadReport {
        .running = figures[0],
        .waiting = figures[1],
        .slots = std::max(1, figures[2]),
        .workFactor = std::max(1, figures[required]) / percent,
        .at = now,
    };
}

}
