#include "Bench/GossipBench.h"

#include <algorithm>
#include <ctime>
#include <random>

#include <fmt/format.h>
#include <json/json.h>

#include "Controllers/Members.h"

namespace Bench {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr int domains = 3;

    // One entry's membership; a newer head is in force as soon as it is heard of.
    struct GossipEntry {
        GossipEntry(int number, double loss)
            : members({
                          .hooks = Common::systemHooks(),
                          .peerAddress = "127.0.0.1:0",
                          .failureDomain = std::string(1, static_cast<char>('a' + number % domains)),
                          .sharedKey = "bench-shared-key",
                          .passes = [loss, hooks = Common::systemHooks()](const auto&) { return Common::randomUnit(hooks) >= loss; },
                          .onHead = [this](auto revision, const auto&) {
                      head = revision;
                      members.setHead(revision); },
                      },
                log)
        {
        }

        std::atomic<std::uint64_t> head { 0 };
        Common::EventLog log { { .process = "bench", .format = Common::LogFormat::Off } };
        Controllers::Members members; // last: its threads use the others
    };

    using Entries = std::vector<std::unique_ptr<GossipEntry>>;

    struct Reading {
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
        double cpuSeconds = 0;
        Clock::time_point at;
    };

    Reading read(const Entries& entries)
    {
        Reading reading { .at = Clock::now() };
        for (const auto& entry : entries) {
            auto traffic = entry->members.traffic();
            reading.bytes += traffic.bytesSent;
            reading.messages += traffic.messagesSent;
        }
        timespec cpu {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu);
        constexpr double nsPerSecond = 1e9;
        reading.cpuSeconds = static_cast<double>(cpu.tv_sec) + static_cast<double>(cpu.tv_nsec) / nsPerSecond;
        return reading;
    }

    // For each entry; bytes as sent, what is received is the same on average.
    Json::Value describe(const Reading& before, const Reading& after, std::size_t entries)
    {
        auto seconds = std::chrono::duration<double>(after.at - before.at).count() * static_cast<double>(entries);
        Json::Value json;
        json["sent_bytes_per_second"] = static_cast<double>(after.bytes - before.bytes) / seconds;
        json["sent_messages_per_second"] = static_cast<double>(after.messages - before.messages) / seconds;
        json["cpu_percent"] = 100 * (after.cpuSeconds - before.cpuSeconds) / seconds;
        return json;
    }

    bool eventually(Common::Duration limit, const std::function<bool()>& condition)
    {
        for (auto end = Clock::now() + limit; Clock::now() < end;) {
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return false;
    }

    Entries startEntries(const GossipBenchOptions& options)
    {
        Entries entries;
        std::vector<Platform::Instance> listed;
        for (int i = 0; i < options.entries; ++i) {
            entries.push_back(std::make_unique<GossipEntry>(i, options.loss));
            if (!entries.back()->members.bind())
                return {};
            listed.push_back({ .address = {}, .kind = Platform::InstanceKind::Entry, .pool = {}, .failureDomain = {}, .peerAddress = entries.back()->members.peerAddress() });
        }
        for (auto& entry : entries) {
            entry->members.setInstances(listed);
            entry->members.setServices({ { "puzzle", 25 }, { "prize", 6 } });
            entry->members.start("127.0.0.1:1");
        }
        return entries;
    }

    // Milliseconds until each change was at all entries; a change that did not arrive counts the whole limit.
    std::vector<double> makeChanges(const Entries& entries, const GossipBenchOptions& options)
    {
        constexpr auto limit = std::chrono::seconds(10);
        std::vector<double> times;
        std::mt19937_64 random(1);
        auto begun = Clock::now();
        auto count = static_cast<int>(options.seconds * options.changesPerSecond);
        for (int i = 1; i <= count; ++i) {
            std::this_thread::sleep_until(begun + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(i / options.changesPerSecond)));
            auto revision = static_cast<std::uint64_t>(i);
            auto start = Clock::now();
            auto& source = *entries[random() % entries.size()];
            source.head = revision;
            source.members.setHead(revision);
            eventually(limit, [&] { return std::all_of(entries.begin(), entries.end(), [&](const auto& entry) { return entry->head >= revision; }); });
            times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
        }
        std::sort(times.begin(), times.end());
        return times;
    }

}

int runGossipBench(const GossipBenchOptions& options)
{
    auto entries = startEntries(options);
    if (entries.empty())
        return 1;
    auto met = eventually(std::chrono::seconds(30), [&] {
        return std::all_of(entries.begin(), entries.end(), [&](const auto& entry) { return entry->members.view()->size() == entries.size(); });
    });
    std::this_thread::sleep_for(std::chrono::seconds(5));
    auto start = read(entries);
    std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
    auto quiet = read(entries);
    auto times = makeChanges(entries, options);
    auto changing = read(entries);
    for (auto& entry : entries)
        entry->members.stop();
    Json::Value json;
    json["entries"] = options.entries;
    json["loss"] = options.loss;
    json["met"] = met;
    json["quiet"] = describe(start, quiet, entries.size());
    json["changing"] = describe(quiet, changing, entries.size());
    constexpr double p99 = 0.99;
    if (!times.empty()) {
        json["change_p50_ms"] = times[times.size() / 2];
        json["change_p99_ms"] = times[static_cast<std::size_t>(static_cast<double>(times.size() - 1) * p99)];
        json["change_worst_ms"] = times.back();
    }
    constexpr double limitMs = 4000;
    auto ok = met && (times.empty() || times.back() < limitMs);
    json["ok"] = ok;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = 4;
    fmt::print("{}\n", Json::writeString(builder, json));
    return ok ? 0 : 1;
}

}
