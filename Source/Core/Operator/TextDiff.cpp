#include "Operator/TextDiff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace Operator {

namespace {

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::vector<std::string> lines;
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);)
            lines.push_back(line);
        return lines;
    }

    // Lengths of the longest common subsequences of all pairs of tails.
    std::vector<std::vector<int>> commonLengths(const std::vector<std::string>& before, const std::vector<std::string>& after)
    {
        std::vector<std::vector<int>> lengths(before.size() + 1, std::vector<int>(after.size() + 1, 0));
        for (auto i = before.size(); i-- > 0;) {
            for (auto j = after.size(); j-- > 0;)
                lengths[i][j] = before[i] == after[j] ? lengths[i + 1][j + 1] + 1 : std::max(lengths[i + 1][j], lengths[i][j + 1]);
        }
        return lengths;
    }

}

std::string textDiff(const std::string& before, const std::string& after)
{
    if (before == after)
        return "";
    auto from = linesOf(before);
    auto to = linesOf(after);
    auto lengths = commonLengths(from, to);
    std::string diff;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < from.size() || j < to.size()) {
        if (i < from.size() && j < to.size() && from[i] == to[j]) {
            diff += "  " + from[i++] + "\n";
            ++j;
        } else if (j == to.size() || (i < from.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
            diff += "- " + from[i++] + "\n";
        } else {
            diff += "+ " + to[j++] + "\n";
        }
    }
    return diff;
}

}
