#include "Controllers/BackendServers.h"

#include <array>

#include <Poco/Exception.h>

#include "Common/NameTable.h"
#include "Decisions/ConnectionShare.h"

namespace Controllers {

namespace {

    using Common::EventId;
    using Decisions::EjectionReason;
    using Decisions::PoolEventKind;

    constexpr int serversTriedForConnection = 3;

    constexpr std::array reasonNames {
        Common::EnumName<EjectionReason> { EjectionReason::Failures, "failures" },
        Common::EnumName<EjectionReason> { EjectionReason::Refused, "refused" },
        Common::EnumName<EjectionReason> { EjectionReason::Slow, "slow" },
        Common::EnumName<EjectionReason> { EjectionReason::Stuck, "stuck" },
    };

    Decisions::PoolOptions poolOptions(const Records::ServiceRecord& record)
    {
        return {
            .service = record.service,
            .policy = record.policy,
            .goal = record.goal,
            .slots = record.slots,
            .incarnationClock = [] { return static_cast<std::uint64_t>(Common::wallMilliseconds()); },
        };
    }

    EventId eventOf(PoolEventKind kind)
    {
        switch (kind) {
        case PoolEventKind::Added:
            return EventId::ServerAdded;
        case PoolEventKind::Removed:
            return EventId::ServerRemoved;
        case PoolEventKind::Ejected:
            return EventId::ServerEjected;
        case PoolEventKind::Draining:
            return EventId::ServerDraining;
        case PoolEventKind::Returned:
        case PoolEventKind::Live:
            break;
        }
        return EventId::ServerReturned;
    }

}

BackendServers::BackendServers(BackendServersOptions options, Common::EventLog& log)
    : m_options(std::move(options))
    , m_log(log)
{
}

void BackendServers::apply(const Records::RecordSet& records, std::span<const Platform::Instance> instances)
{
    Pools pools;
    for (const auto& instance : instances) {
        if (instance.kind == Platform::InstanceKind::Backend)
            pools[instance.pool].push_back({ .address = instance.address, .failureDomain = instance.failureDomain, .leaving = instance.leaving });
    }
    auto next = std::make_shared<Shards>();
    for (const auto& [name, record] : records.services) {
        auto known = shard(name);
        auto target = known ? known : std::make_shared<Shard>(poolOptions(*record), m_options.hooks);
        applyService(*target, record, pools);
        report(name, *target);
        next->emplace(name, std::move(target));
    }
    m_shards.set(std::move(next));
}

Common::Result<AttemptHold> BackendServers::begin(const std::string& service, std::span<const std::string> exclude, Common::Duration freshness)
{
    auto target = shard(service);
    if (!target)
        return Common::Error { Common::ResultCode::UnknownService, "no record in force describes service " + service };
    auto hold = choose(*target, service, exclude, freshness);
    std::vector<std::string> full(exclude.begin(), exclude.end());
    for (int tries = 1; hold && !hold.value().connection.session && tries < serversTriedForConnection; ++tries) {
        full.push_back(hold.value().ticket.address);
        auto other = choose(*target, service, full, freshness);
        if (!other)
            break;
        end(service, std::move(hold).value(), { .end = { .stage = Decisions::AttemptStage::BeforeConnect, .fault = Decisions::AttemptFault::Refused } });
        hold = std::move(other);
    }
    return hold;
}

void BackendServers::end(const std::string& service, AttemptHold hold, const Decisions::AttemptReport& report)
{
    // First, so that whoever the finished attempt makes room for finds the connection.
    if (hold.connection.session)
        hold.pool->release(std::move(hold.connection.session));
    auto target = shard(service);
    if (!target)
        return;
    {
        std::lock_guard lock(target->mutex);
        target->pool.finish(hold.ticket, report);
    }
    this->report(service, *target);
}

std::vector<ProbeOrder> BackendServers::beginProbes()
{
    std::vector<ProbeOrder> orders;
    auto shards = m_shards.get();
    auto now = m_options.hooks.now();
    for (const auto& [service, target] : *shards) {
        auto share = m_options.share(service);
        ProbeOrder order { .service = service, .hold = {} };
        {
            std::lock_guard lock(target->mutex);
            target->budget.setRate(target->probesPerSecond, share, now);
            if (!target->budget.has(now))
                continue;
            auto ticket = target->pool.beginProbe();
            if (!ticket)
                continue;
            target->budget.take(now);
            order.hold.ticket = *ticket;
            order.hold.pool = connectionsOf(*target, ticket->address);
        }
        try {
            if (order.hold.pool)
                order.hold.connection = order.hold.pool->acquire();
        } catch (const Poco::Exception&) {
            // Without a connection the probe ends as not sent; the others go on.
        }
        orders.push_back(std::move(order));
    }
    return orders;
}

void BackendServers::endProbe(ProbeOrder order, const Decisions::AttemptReport& report)
{
    if (order.hold.connection.session)
        order.hold.pool->release(std::move(order.hold.connection.session));
    auto target = shard(order.service);
    if (!target)
        return;
    {
        std::lock_guard lock(target->mutex);
        target->pool.finishProbe(order.hold.ticket, report);
    }
    this->report(order.service, *target);
}

void BackendServers::applyHint(const Decisions::ServerHint& hint)
{
    auto target = shard(hint.service);
    if (!target)
        return;
    {
        std::lock_guard lock(target->mutex);
        target->pool.applyHint(hint);
    }
    report(hint.service, *target);
}

int BackendServers::connectionLimit(const std::string& service) const
{
    auto target = shard(service);
    if (!target)
        return 0;
    std::lock_guard lock(target->mutex);
    return std::max(0, target->connectionLimit);
}

std::vector<Decisions::ServerView> BackendServers::view(const std::string& service) const
{
    auto target = shard(service);
    if (!target)
        return {};
    std::lock_guard lock(target->mutex);
    return target->pool.view();
}

Common::Result<AttemptHold> BackendServers::choose(Shard& target, const std::string& service, std::span<const std::string> exclude, Common::Duration freshness)
{
    AttemptHold hold;
    {
        std::lock_guard lock(target.mutex);
        auto ticket = target.pool.choose(exclude);
        if (!ticket)
            return Common::Error { Common::ResultCode::NoServer, "no backend server of service " + service + " can take work" };
        hold.ticket = *ticket;
        hold.pool = connectionsOf(target, ticket->address);
    }
    if (hold.pool)
        hold.connection = hold.pool->acquire(freshness);
    return hold;
}

void BackendServers::applyService(Shard& target, const std::shared_ptr<const Records::ServiceRecord>& record, const Pools& pools)
{
    std::vector<Decisions::ServerSpec> specs;
    for (const auto& address : record->servers)
        specs.push_back({ .address = address, .failureDomain = {}, .leaving = false });
    if (auto it = pools.find(record->pool); it != pools.end() && !record->pool.empty())
        specs.insert(specs.end(), it->second.begin(), it->second.end());
    auto limit = Decisions::connectionLimit(record->connections, m_options.share(record->service));
    std::lock_guard lock(target.mutex);
    if (target.record != record) {
        target.record = record;
        target.probesPerSecond = record->probeBudget;
        target.pool.setOptions(poolOptions(*record));
    }
    if (limit != target.connectionLimit) {
        target.connectionLimit = limit;
        for (const auto& [address, connections] : target.connections)
            connections->setLimit(limit);
    }
    if (specs == target.specs)
        return;
    target.specs = std::move(specs);
    target.pool.setServers(target.specs);
    connect(target, *record);
}

void BackendServers::connect(Shard& target, const Records::ServiceRecord& record)
{
    std::map<std::string, Connections, std::less<>> connections;
    for (const auto& spec : target.specs) {
        if (auto known = connectionsOf(target, spec.address)) {
            connections.emplace(spec.address, std::move(known));
            continue;
        }
        auto onSuspect = [this, service = record.service, server = spec.address](int retired) {
            m_log.log(EventId::ServerConnectionsSuspect, { { "service", service }, { "server", server }, { "replaced", std::to_string(retired) } });
        };
        Backends::ConnectionPoolOptions options { .session = { .address = spec.address, .answerBytes = m_options.answerBytes }, .limit = target.connectionLimit, .onSuspect = std::move(onSuspect) };
        connections.emplace(spec.address, std::make_shared<Backends::ConnectionPool>(options));
    }
    target.connections = std::move(connections);
}

BackendServers::Connections BackendServers::connectionsOf(Shard& target, const std::string& server)
{
    auto it = target.connections.find(server);
    return it == target.connections.end() ? nullptr : it->second;
}

void BackendServers::report(const std::string& service, Shard& target)
{
    std::vector<Decisions::PoolEvent> events;
    std::vector<Decisions::ServerHint> hints;
    {
        std::lock_guard lock(target.mutex);
        events = target.pool.takeEvents();
        hints = target.pool.takeHints();
    }
    for (const auto& event : events)
        logEvent(service, event);
    for (const auto& hint : hints)
        m_options.publishHint(hint);
}

void BackendServers::logEvent(const std::string& service, const Decisions::PoolEvent& event)
{
    std::vector<Common::EventField> fields { { "service", service }, { "server", event.server } };
    if (event.reason)
        fields.push_back({ "reason", std::string(Common::nameOf(reasonNames, *event.reason)) });
    // A whole pool joins at each start of an entry.
    if (event.kind == PoolEventKind::Added || event.kind == PoolEventKind::Removed)
        m_log.trace(eventOf(event.kind), std::move(fields));
    else
        m_log.log(eventOf(event.kind), std::move(fields));
}

std::shared_ptr<BackendServers::Shard> BackendServers::shard(const std::string& service) const
{
    auto shards = m_shards.get();
    auto it = shards->find(service);
    return it == shards->end() ? nullptr : it->second;
}

}
