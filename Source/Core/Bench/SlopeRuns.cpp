#include "Bench/SlopeRuns.h"

#include <ctime>
#include <malloc.h>
#include <memory>
#include <unistd.h>

#include <fstream>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>

#include "Bench/BackendStandIn.h"
#include "Bench/LoadGenerator.h"
#include "Bench/PlatformStandIn.h"
#include "Bench/RecordTable.h"
#include "Entry/Daemon.h"
#include "Platform/HttpPlatform.h"

namespace Bench {

namespace {

    constexpr double bytesPerKib = 1024;

    Settings::EntrySettings entrySettings(const PlatformStandIn& platform)
    {
        return {
            .address = "127.0.0.1:0",
            .peerAddress = "127.0.0.1:0",
            .failureDomain = "a",
            .platformAddress = platform.address(),
            .sharedKey = "bench-shared-key",
            .logFormat = Common::LogFormat::Off,
            .limits = {},
            .directoryTtlMs = 100,
        };
    }

    std::unique_ptr<Entry::Daemon> startEntry(const PlatformStandIn& platform)
    {
        auto entry = std::make_unique<Entry::Daemon>(entrySettings(platform), Platform::httpPlatform({ .address = platform.address() }), Common::systemHooks());
        if (!entry->start())
            fmt::print(stderr, "slopes: an entry did not start\n");
        return entry;
    }

    double cpuMs(clockid_t clock)
    {
        timespec time {};
        clock_gettime(clock, &time);
        return Common::toMilliseconds(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    // Bytes in use on the heap: unlike the resident set it falls when memory is freed.
    double heapKib()
    {
        auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd) / bytesPerKib;
    }

    double residentKib()
    {
        std::ifstream in("/proc/self/statm");
        long total = 0;
        long resident = 0;
        in >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerKib;
    }

    std::string serviceName(int service)
    {
        return fmt::format("service-{}", service);
    }

    std::string serviceRecord(int service)
    {
        return fmt::format("schema = 1\nservice = \"{0}\"\npool = \"{0}\"\nprobe_budget = 0\n[[rules]]\nmethod = \"POST\"\npath = \"/submit\"\nrepeat = \"never\"\n", serviceName(service));
    }

    // Records of all services and `servers` backend servers that nobody calls, spread over them.
    void fill(PlatformStandIn& platform, int services, int servers)
    {
        std::vector<SeededRecord> records;
        for (int i = 0; i < services; ++i)
            records.push_back({ .service = serviceName(i), .forms = { serviceRecord(i) } });
        platform.commit(seedTransaction(0, records));
        std::vector<Platform::Instance> instances;
        for (int i = 0; i < servers; ++i) {
            instances.push_back({ .address = fmt::format("127.{}.{}.1:{}", 1 + i / 65'536, i / 256 % 256, 10'000 + i % 256),
                .pool = serviceName(i % services),
                .failureDomain = std::string(1, static_cast<char>('a' + i % 10)),
                .peerAddress = {} });
        }
        platform.setInstances(instances);
    }

    // Heap and processor time of one entry that starts with so many servers in its state.
    void measureState(const SlopeOptions& options, std::vector<Slope>& slopes)
    {
        Slope heap { .name = "entry-state", .xLabel = "backend servers", .yLabel = "heap KiB", .points = {} };
        Slope start { .name = "entry-start-cpu", .xLabel = "backend servers", .yLabel = "CPU ms", .points = {} };
        for (int tenths : { 1, 3, 6, 10 }) {
            auto servers = options.servers * tenths / 10;
            fmt::print(stderr, "slopes: state of {} services with {} servers\n", options.services, servers);
            PlatformStandIn platform;
            fill(platform, options.services, servers);
            auto heapBefore = heapKib();
            auto cpuBefore = cpuMs(CLOCK_THREAD_CPUTIME_ID);
            auto entry = startEntry(platform);
            start.points.push_back({ static_cast<double>(servers), cpuMs(CLOCK_THREAD_CPUTIME_ID) - cpuBefore });
            heap.points.push_back({ static_cast<double>(servers), heapKib() - heapBefore });
        }
        slopes.push_back(std::move(heap));
        slopes.push_back(std::move(start));
    }

    // Processor time of bringing changes into force, one poll each, with all services in the state.
    void measureChanges(const SlopeOptions& options, std::vector<Slope>& slopes)
    {
        Slope slope { .name = "change-cpu", .xLabel = "changes", .yLabel = "CPU ms", .points = {} };
        PlatformStandIn platform;
        fill(platform, options.services, 0);
        Common::EventLog log({ .process = "slopes", .format = Common::LogFormat::Off });
        Controllers::RecordController records(Platform::httpPlatform({ .address = platform.address() }).table, log);
        if (!records.poll())
            fmt::print(stderr, "slopes: the records could not be read\n");
        auto revision = records.current()->revision;
        for (int changes : { 20, 50, 100 }) {
            fmt::print(stderr, "slopes: {} changes\n", changes);
            double spentMs = 0;
            for (int i = 0; i < changes; ++i) {
                platform.commit(seedTransaction(revision, { { .service = serviceName(i), .forms = { serviceRecord(i) } } }));
                auto before = cpuMs(CLOCK_THREAD_CPUTIME_ID);
                auto changed = records.poll();
                if (!changed || !changed.value())
                    fmt::print(stderr, "slopes: a change was not read\n");
                spentMs += cpuMs(CLOCK_THREAD_CPUTIME_ID) - before;
                revision = records.current()->revision;
            }
            slope.points.push_back({ static_cast<double>(changes), spentMs });
        }
        slopes.push_back(std::move(slope));
    }

    // Resident memory of callers' connections, each of which has had one answer.
    void measureConnections(const SlopeOptions& options, std::vector<Slope>& slopes)
    {
        Slope slope { .name = "caller-connections", .xLabel = "connections", .yLabel = "resident KiB", .points = {} };
        PlatformStandIn platform;
        fill(platform, 1, 0);
        auto entry = startEntry(platform);
        std::vector<Poco::Net::StreamSocket> sockets;
        auto before = residentKib();
        constexpr std::string_view request = "GET /services/service-0/x HTTP/1.1\r\nHost: h\r\n\r\n";
        std::array<char, 2048> buf {};
        for (int tenths : { 1, 3, 6, 10 }) {
            auto count = static_cast<std::size_t>(options.connections * tenths / 10);
            fmt::print(stderr, "slopes: {} connections\n", count);
            while (sockets.size() < count) {
                sockets.emplace_back(Poco::Net::SocketAddress(entry->address()));
                sockets.back().sendBytes(request.data(), static_cast<int>(request.size()));
                sockets.back().receiveBytes(buf.data(), static_cast<int>(buf.size()));
            }
            slope.points.push_back({ static_cast<double>(count), residentKib() - before });
        }
        slopes.push_back(std::move(slope));
    }

    // Share of one core that an entry's calls take, by the processor time of sampled calls.
    void measureCalls(const SlopeOptions& options, std::vector<Slope>& slopes)
    {
        Slope slope { .name = "call-cpu", .xLabel = "calls/s", .yLabel = "CPU ms/s", .points = {} };
        for (double rate : { 500.0, 1000.0, 2000.0, 4000.0 }) {
            fmt::print(stderr, "slopes: {} calls/s\n", rate);
            Ledger ledger;
            PlatformStandIn platform;
            fill(platform, 1, 0);
            std::vector<std::unique_ptr<BackendStandIn>> servers;
            std::vector<Platform::Instance> instances;
            constexpr int serverCount = 12;
            for (int i = 0; i < serverCount; ++i) {
                BackendOptions backend;
                backend.number = i;
                backend.service = serviceName(0);
                servers.push_back(std::make_unique<BackendStandIn>(backend, ledger));
                instances.push_back({ .address = servers.back()->address(), .pool = serviceName(0), .failureDomain = "a", .peerAddress = {} });
            }
            platform.setInstances(instances);
            auto entry = startEntry(platform);
            LoadOptions load;
            load.entries = { entry->address() };
            load.services = { { .name = serviceName(0), .callsPerSecond = rate, .calls = { { .method = "GET", .path = "/x" } } } };
            load.duration = std::chrono::seconds(options.secondsPerRate);
            load.useDirectory = false;
            runLoad(load);
            auto cpu = entry->callers().ownCpuTimes.quantiles();
            slope.points.push_back({ rate, cpu.count == 0 ? 0 : cpu.sumMs / static_cast<double>(cpu.count) * rate });
        }
        slopes.push_back(std::move(slope));
    }

}

std::vector<Slope> measureSlopes(const SlopeOptions& options)
{
    std::vector<Slope> slopes;
    measureState(options, slopes);
    measureChanges(options, slopes);
    measureConnections(options, slopes);
    measureCalls(options, slopes);
    return slopes;
}

}
