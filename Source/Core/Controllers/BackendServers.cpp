#include "Controllers/BackendServers.h"

namespace Controllers {

namespace {

    std::vector<Decisions::ServerSpec> specsFor(const Records::ServiceRecord& record, std::span<const Platform::Instance> instances)
    {
        std::vector<Decisions::ServerSpec> specs;
        for (const auto& address : record.servers)
            specs.push_back({ .address = address, .failureDomain = {}, .leaving = false });
        if (record.pool.empty())
            return specs;
        for (const auto& instance : instances) {
            if (instance.kind == Platform::InstanceKind::Backend && instance.pool == record.pool)
                specs.push_back({ .address = instance.address, .failureDomain = instance.failureDomain, .leaving = instance.leaving });
        }
        return specs;
    }

}

BackendServers::BackendServers(BackendServersOptions options, Common::EventLog& log)
    : m_options(std::move(options))
    , m_log(log)
{
}

void BackendServers::apply(const Records::RecordSet& records, std::span<const Platform::Instance> instances)
{
    auto next = std::make_shared<Shards>();
    for (const auto& [name, record] : records.services) {
        auto known = shard(name);
        Decisions::PoolOptions options { .service = name, .policy = record->policy, .goal = record->goal, .slots = record->slots };
        auto target = known ? known : std::make_shared<Shard>(options, m_options.hooks);
        applyService(*target, *record, instances);
        next->emplace(name, std::move(target));
    }
    m_shards.set(std::move(next));
}

Common::Result<AttemptHold> BackendServers::begin(const std::string& service, std::span<const std::string> exclude, Common::Duration freshness)
{
    auto target = shard(service);
    if (!target)
        return Common::Error { Common::ResultCode::UnknownService, "no record in force describes service " + service };
    std::shared_ptr<Backends::ConnectionPool> connections;
    AttemptHold hold;
    {
        std::lock_guard lock(target->mutex);
        auto ticket = target->pool.choose(exclude);
        if (!ticket)
            return Common::Error { Common::ResultCode::NoServer, "no backend server of service " + service + " can take work" };
        hold.ticket = *ticket;
        connections = target->connections.at(ticket->address);
    }
    hold.connection = connections->acquire(freshness);
    return hold;
}

void BackendServers::end(const std::string& service, AttemptHold hold, const Decisions::AttemptReport& report)
{
    auto target = shard(service);
    if (!target)
        return;
    std::shared_ptr<Backends::ConnectionPool> connections;
    {
        std::lock_guard lock(target->mutex);
        target->pool.finish(hold.ticket, report);
        if (auto it = target->connections.find(hold.ticket.address); it != target->connections.end())
            connections = it->second;
    }
    if (connections && hold.connection.session)
        connections->release(std::move(hold.connection.session));
}

std::vector<Decisions::ServerView> BackendServers::view(const std::string& service) const
{
    auto target = shard(service);
    if (!target)
        return {};
    std::lock_guard lock(target->mutex);
    return target->pool.view();
}

void BackendServers::applyService(Shard& target, const Records::ServiceRecord& record, std::span<const Platform::Instance> instances)
{
    auto specs = specsFor(record, instances);
    std::lock_guard lock(target.mutex);
    target.pool.setOptions({ .service = record.service, .policy = record.policy, .goal = record.goal, .slots = record.slots });
    target.pool.setServers(specs);
    std::map<std::string, std::shared_ptr<Backends::ConnectionPool>, std::less<>> connections;
    for (const auto& spec : specs) {
        auto it = target.connections.find(spec.address);
        if (it != target.connections.end()) {
            connections.emplace(spec.address, it->second);
            continue;
        }
        auto onSuspect = [this, service = record.service, server = spec.address](int retired) {
            m_log.log(Common::EventId::ServerConnectionsSuspect, { { "service", service }, { "server", server }, { "replaced", std::to_string(retired) } });
        };
        Backends::ConnectionPoolOptions options { .session = { .address = spec.address, .answerBytes = m_options.answerBytes }, .limit = record.connections, .onSuspect = std::move(onSuspect) };
        connections.emplace(spec.address, std::make_shared<Backends::ConnectionPool>(options));
        m_log.trace(Common::EventId::ServerAdded, { { "service", record.service }, { "server", spec.address } });
    }
    target.connections = std::move(connections);
}

std::shared_ptr<BackendServers::Shard> BackendServers::shard(const std::string& service) const
{
    auto shards = m_shards.get();
    auto it = shards->find(service);
    return it == shards->end() ? nullptr : it->second;
}

}
