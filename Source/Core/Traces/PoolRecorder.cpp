#include "Traces/PoolRecorder.h"

#include "Traces/TraceJson.h"

namespace Traces {

struct PoolRecorder::Draws {
    Json::Value now { Json::arrayValue };
    Json::Value random { Json::arrayValue };
    Json::Value clock { Json::arrayValue };

    void clear()
    {
        now = Json::arrayValue;
        random = Json::arrayValue;
        clock = Json::arrayValue;
    }
};

PoolRecorder::PoolRecorder(const Decisions::PoolOptions& options, const Common::Hooks& hooks, TraceSink sink)
    : m_sink(std::move(sink))
    , m_draws(std::make_shared<Draws>())
    , m_pool(watched(options), watched(hooks))
{
    if (m_sink)
        write("create", [&](Json::Value& line) { line["options"] = encodeOptions(options); });
}

void PoolRecorder::setOptions(const Decisions::PoolOptions& options)
{
    m_pool.setOptions(watched(options));
    if (m_sink)
        write("options", [&](Json::Value& line) { line["options"] = encodeOptions(options); });
}

void PoolRecorder::setServers(std::span<const Decisions::ServerSpec> servers)
{
    m_pool.setServers(servers);
    if (m_sink)
        write("servers", [&](Json::Value& line) { line["servers"] = encodeServers(servers); });
}

std::optional<Decisions::Ticket> PoolRecorder::choose(std::span<const std::string> exclude)
{
    auto ticket = m_pool.choose(exclude);
    if (m_sink) {
        write("choose", [&](Json::Value& line) {
            line["exclude"] = encodeStrings(exclude);
            line["ticket"] = Json::UInt64(ticket ? ticket->number : 0);
            line["chose"] = ticket ? ticket->address : std::string();
        });
    }
    return ticket;
}

void PoolRecorder::finish(const Decisions::Ticket& ticket, const Decisions::AttemptReport& report)
{
    m_pool.finish(ticket, report);
    if (m_sink) {
        write("finish", [&](Json::Value& line) {
            line["ticket"] = Json::UInt64(ticket.number);
            line["report"] = encodeReport(report);
        });
    }
}

std::optional<Decisions::Ticket> PoolRecorder::beginProbe()
{
    auto ticket = m_pool.beginProbe();
    // Most looks for a server to probe find none; they change nothing.
    if (m_sink && ticket) {
        write("probe", [&](Json::Value& line) {
            line["ticket"] = Json::UInt64(ticket->number);
            line["chose"] = ticket->address;
        });
    }
    m_draws->clear();
    return ticket;
}

void PoolRecorder::finishProbe(const Decisions::Ticket& ticket, const Decisions::AttemptReport& report)
{
    m_pool.finishProbe(ticket, report);
    if (m_sink) {
        write("finish-probe", [&](Json::Value& line) {
            line["ticket"] = Json::UInt64(ticket.number);
            line["report"] = encodeReport(report);
        });
    }
}

void PoolRecorder::applyHint(const Decisions::ServerHint& hint)
{
    m_pool.applyHint(hint);
    if (m_sink)
        write("hint", [&](Json::Value& line) { line["hint"] = encodeHint(hint); });
}

Decisions::PoolOptions PoolRecorder::watched(Decisions::PoolOptions options) const
{
    if (!m_sink)
        return options;
    options.incarnationClock = [draws = m_draws, clock = options.incarnationClock] {
        auto value = clock();
        draws->clock.append(Json::UInt64(value));
        return value;
    };
    return options;
}

Common::Hooks PoolRecorder::watched(const Common::Hooks& hooks) const
{
    if (!m_sink)
        return hooks;
    return {
        .now = [draws = m_draws, now = hooks.now] {
            auto value = now();
            draws->now.append(Json::Int64(value.time_since_epoch().count()));
            return value; },
        .random = [draws = m_draws, random = hooks.random] {
            auto value = random();
            draws->random.append(Json::UInt64(value));
            return value; },
    };
}

void PoolRecorder::write(const char* operation, const std::function<void(Json::Value&)>& fill)
{
    Json::Value line;
    line["do"] = operation;
    fill(line);
    line["now"] = m_draws->now;
    line["random"] = m_draws->random;
    line["clock"] = m_draws->clock;
    m_draws->clear();
    m_sink(toLine(line));
}

}
