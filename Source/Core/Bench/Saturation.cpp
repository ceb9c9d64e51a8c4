#include "Bench/Saturation.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <json/json.h>

#include "Bench/Fleet.h"
#include "Bench/HttpClient.h"
#include "Bench/Relay.h"

namespace Bench {

namespace {

    // Callers that send the next request as soon as the answer is there.
    class ClosedLoop {
    public:
        ClosedLoop(std::vector<std::string> addresses, std::string path)
            : m_addresses(std::move(addresses))
            , m_path(std::move(path))
        {
        }

        ~ClosedLoop()
        {
            m_stopping = true;
            m_loop.stop();
        }

        ClosedLoop(const ClosedLoop&) = delete;
        ClosedLoop& operator=(const ClosedLoop&) = delete;

        void start(int connections)
        {
            for (int i = 0; i < connections; ++i)
                m_loop.post([this, i] { next(m_addresses[static_cast<std::size_t>(i) % m_addresses.size()]); });
        }

        std::uint64_t answers() const { return m_answers; }

    private:
        void next(const std::string& address)
        {
            if (m_stopping)
                return;
            m_client.send({
                .address = address,
                .text = requestText("GET", m_path, fmt::format("Idempotency-Key: {}-{}\r\n", static_cast<void*>(this), m_answers.load()), ""),
                .done = [this, address](const ClientAnswer& answer) {
                    constexpr int ok = 200;
                    m_answers += answer.status == ok ? 1 : 0;
                    next(address);
                },
            });
        }

        std::vector<std::string> m_addresses;
        std::string m_path;
        std::atomic<bool> m_stopping { false };
        std::atomic<std::uint64_t> m_answers { 0 };
        EventLoop m_loop;
        HttpClient m_client { m_loop };
    };

    double answersPerSecond(const SaturationOptions& options, const std::vector<std::string>& addresses, const std::string& path)
    {
        constexpr auto warmUp = std::chrono::milliseconds(500);
        std::vector<std::unique_ptr<ClosedLoop>> loops;
        for (int i = 0; i < options.loops; ++i) {
            loops.push_back(std::make_unique<ClosedLoop>(addresses, path));
            loops.back()->start(options.connections);
        }
        auto total = [&] {
            std::uint64_t answers = 0;
            for (const auto& loop : loops)
                answers += loop->answers();
            return answers;
        };
        std::this_thread::sleep_for(warmUp);
        auto begun = std::chrono::steady_clock::now();
        auto before = total();
        std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
        auto answers = total() - before;
        return static_cast<double>(answers) / std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    }

    double median(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[values.size() / 2];
    }

}

int runSaturation(const SaturationOptions& options)
{
    // Servers that cost as little as the machine allows, so that the entry is what saturates.
    constexpr int manySlots = 1000;
    Deployment deployment = *findDeployment("small");
    deployment.services.front().slots = manySlots;
    Plan plan;
    plan.serviceTime = std::chrono::microseconds(50);
    plan.fixedServiceTime = true;
    Fleet fleet({ .deployment = deployment, .plan = plan, .records = {}, .seed = 1 });
    if (!fleet.start())
        return 1;
    auto entries = fleet.entryAddresses();
    auto servers = fleet.backendAddresses(0);
    Relay relay(servers);
    const std::string servicePath = "/services/puzzle/clue";
    std::vector<double> direct;
    std::vector<double> relayed;
    std::vector<double> entry;
    std::vector<double> directory;
    for (int round = 0; round < options.rounds; ++round) {
        fmt::print(stderr, "saturation: round {} of {}\n", round + 1, options.rounds);
        direct.push_back(answersPerSecond(options, servers, "/clue"));
        relayed.push_back(answersPerSecond(options, { relay.address() }, "/clue"));
        entry.push_back(answersPerSecond(options, entries, servicePath));
        directory.push_back(answersPerSecond(options, entries, "/v1/entries?service=puzzle"));
    }
    Common::LatencyQuantiles cpu;
    fleet.forEachEntry([&](Entry::Daemon& daemon) { cpu = daemon.callers().ownCpuTimes.quantiles(); });
    constexpr double usPerMs = 1000;
    Json::Value json;
    json["direct_calls_per_s"] = std::round(median(direct));
    json["relay_calls_per_s"] = std::round(median(relayed));
    json["entry_calls_per_s"] = std::round(median(entry));
    json["directory_answers_per_s"] = std::round(median(directory));
    json["entry_over_relay"] = median(entry) / median(relayed);
    json["entry_cpu_mean_us"] = cpu.count > 0 ? cpu.sumMs / static_cast<double>(cpu.count) * usPerMs : 0;
    json["entry_cpu_p99_us"] = cpu.p99Ms * usPerMs;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = 3;
    builder["precisionType"] = "decimal";
    fmt::print("{}\n", Json::writeString(builder, json));
    return 0;
}

}
