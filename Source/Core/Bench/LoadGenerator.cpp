#include "Bench/LoadGenerator.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <random>
#include <thread>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

#include "Bench/BackendStandIn.h"

namespace Bench {

namespace {

    using Poco::Net::HTTPRequest;

    std::vector<Common::Duration> arrivalTimes(const LoadOptions& options)
    {
        std::mt19937_64 generator(options.seed);
        std::exponential_distribution<double> gap(options.callsPerSecond);
        std::vector<Common::Duration> times;
        double at = gap(generator);
        while (at < std::chrono::duration<double>(options.duration).count()) {
            times.push_back(Common::fromMilliseconds(at * 1000));
            at += gap(generator);
        }
        return times;
    }

    void callOnce(Poco::Net::HTTPClientSession& session, const std::string& path, CallRecord& record)
    {
        try {
            HTTPRequest request(HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
            request.set("Idempotency-Key", record.id);
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            auto& in = session.receiveResponse(response);
            std::string body;
            Poco::StreamCopier::copyToString(in, body);
            record.status = response.getStatus();
            record.outcome = response.get("Cowslipledge-Outcome", "");
            record.ownBody = body == BackendStandIn::bodyFor(record.id);
        } catch (const Poco::Exception&) {
            session.reset();
        }
    }

}

std::vector<CallRecord> runLoad(const LoadOptions& options)
{
    auto times = arrivalTimes(options);
    std::vector<CallRecord> records(times.size());
    std::atomic<std::size_t> nextCall { 0 };
    auto start = std::chrono::steady_clock::now() + std::chrono::milliseconds(10);
    auto work = [&](std::size_t worker) {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(options.targets[worker % options.targets.size()]) };
        session.setKeepAlive(true);
        session.setKeepAliveTimeout(Poco::Timespan(30, 0));
        for (auto i = nextCall++; i < times.size(); i = nextCall++) {
            std::this_thread::sleep_until(start + times[i]);
            records[i].id = fmt::format("{}-{}", options.seed, i);
            callOnce(session, options.path, records[i]);
            records[i].latency = std::chrono::steady_clock::now() - (start + times[i]);
        }
    };
    std::vector<std::thread> workers;
    for (int i = 0; i < options.connections; ++i)
        workers.emplace_back(work, static_cast<std::size_t>(i));
    for (auto& worker : workers)
        worker.join();
    return records;
}

double latencyQuantileMs(const std::vector<CallRecord>& records, double q)
{
    if (records.empty())
        return 0;
    std::vector<Common::Duration> latencies;
    for (const auto& record : records)
        latencies.push_back(record.latency);
    auto rank = static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(rank), latencies.end());
    return Common::toMilliseconds(latencies[rank]);
}

}
