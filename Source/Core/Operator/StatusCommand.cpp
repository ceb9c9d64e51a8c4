#include "Operator/StatusCommand.h"

#include <algorithm>
#include <optional>
#include <set>

#include <fmt/format.h>
#include <json/json.h>

#include "Common/JsonText.h"
#include "Operator/ExitCode.h"

namespace Operator {

namespace {

    using Rows = std::vector<std::vector<std::string>>;

    // Columns as wide as their widest cell.
    std::string formatTable(const std::string& title, const Rows& rows)
    {
        std::vector<std::size_t> widths;
        for (const auto& row : rows) {
            widths.resize(std::max(widths.size(), row.size()));
            for (std::size_t i = 0; i < row.size(); ++i)
                widths[i] = std::max(widths[i], row[i].size());
        }
        auto text = title + "\n";
        for (const auto& row : rows) {
            std::string line = " ";
            for (std::size_t i = 0; i < row.size(); ++i)
                line += fmt::format(" {:<{}}", row[i], widths[i]);
            line.erase(line.find_last_not_of(' ') + 1);
            text += line + "\n";
        }
        return text + "\n";
    }

    std::string text(const Json::Value& value)
    {
        if (value.isBool())
            return value.asBool() ? "yes" : "no";
        return value.isNull() ? "-" : value.asString();
    }

    std::string entryState(const Json::Value& status)
    {
        if (status["leaving"].asBool())
            return "leaving";
        return status["ready"].asBool() ? "ready" : "starting";
    }

    Rows entryRows(const PeerAnswers& answers)
    {
        Rows rows { { "entry", "peer", "domain", "state", "revision", "members", "gossip B/s", "refused" } };
        for (const auto& [peer, status] : answers.answered)
            rows.push_back({ text(status["address"]), peer, text(status["failure_domain"]), entryState(status), text(status["revision"]), std::to_string(status["members"].size()), text(status["gossip"]["bytes_per_second"]), text(status["refused"]) });
        for (const auto& [peer, why] : answers.failed)
            rows.push_back({ "-", peer, "-", "no answer: " + why });
        return rows;
    }

    // Members that an entry doubts, with who says so.
    Rows doubtRows(const PeerAnswers& answers)
    {
        Rows rows;
        for (const auto& [peer, status] : answers.answered) {
            for (const auto& member : status["members"]) {
                if (member["state"].asString() != "alive")
                    rows.push_back({ text(member["peer_address"]), text(member["state"]), "says", peer });
            }
        }
        return rows;
    }

    Rows serviceRows(const PeerAnswers& answers)
    {
        struct Totals {
            std::set<std::string> carriers;
            int withoutOffer = 0;
            std::optional<double> probes;
            std::string budget = "-";
        };
        std::map<std::string, Totals> services;
        for (const auto& [peer, status] : answers.answered) {
            for (const auto& service : status["services"]) {
                auto& totals = services[service["service"].asString()];
                if (service["carries"].asBool())
                    totals.carriers.insert(peer);
                if (!service["offered"].asBool())
                    ++totals.withoutOffer;
                if (service.isMember("probes_per_second"))
                    totals.probes = totals.probes.value_or(0) + service["probes_per_second"].asDouble();
                if (service.isMember("probe_budget"))
                    totals.budget = fmt::format("{:.1f}", service["probe_budget"].asDouble());
            }
        }
        Rows rows { { "service", "carriers", "not understood by", "probes/s", "budget/s" } };
        for (const auto& [name, totals] : services)
            rows.push_back({ name, std::to_string(totals.carriers.size()), std::to_string(totals.withoutOffer), totals.probes ? fmt::format("{:.1f}", *totals.probes) : "-", totals.budget });
        return rows;
    }

    // One row a backend server: how many entries see it in which state.
    Rows serverRows(const PeerAnswers& answers)
    {
        struct Totals {
            std::map<std::string, int> states;
            int inFlight = 0;
        };
        std::map<std::pair<std::string, std::string>, Totals> servers;
        for (const auto& [peer, status] : answers.answered) {
            for (const auto& server : status["servers"]) {
                auto& totals = servers[{ server["service"].asString(), server["server"].asString() }];
                ++totals.states[server["state"].asString()];
                totals.inFlight += server["in_flight"].asInt();
            }
        }
        Rows rows { { "service", "backend server", "in flight", "state (entries)" } };
        for (const auto& [key, totals] : servers) {
            std::string states;
            for (const auto& [state, count] : totals.states)
                states += fmt::format("{}{} ({})", states.empty() ? "" : ", ", state, count);
            rows.push_back({ key.first, key.second, std::to_string(totals.inFlight), states });
        }
        return rows;
    }

    void printJson(const PeerAnswers& answers)
    {
        Json::Value json;
        json["entries"] = Json::objectValue;
        for (const auto& [peer, status] : answers.answered)
            json["entries"][peer] = status;
        json["not_answered"] = Json::objectValue;
        for (const auto& [peer, why] : answers.failed)
            json["not_answered"][peer] = why;
        fmt::print("{}\n", Common::jsonText(json));
    }

}

std::string describeStatus(const PeerAnswers& answers)
{
    auto page = formatTable("Entries", entryRows(answers));
    if (auto rows = doubtRows(answers); !rows.empty())
        page += formatTable("Members in doubt", rows);
    return page + formatTable("Services", serviceRows(answers)) + formatTable("Backend servers", serverRows(answers));
}

int statusCommand(const StatusOptions& options)
{
    auto finder = PeerFinder::find(options.peers);
    if (!finder) {
        fmt::print(stderr, "{}\n", finder.error().text);
        return toInt(finder.error().code == Common::ResultCode::SettingsInvalid ? ExitCode::InvalidFile : ExitCode::Unreachable);
    }
    auto answers = finder.value().ask("status", {});
    if (options.json)
        printJson(answers);
    else
        fmt::print("{}", describeStatus(answers));
    return toInt(answers.failed.empty() ? ExitCode::Ok : ExitCode::Unreachable);
}

}
