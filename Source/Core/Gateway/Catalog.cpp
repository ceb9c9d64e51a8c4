#include "Gateway/Catalog.h"

#include <algorithm>

namespace Gateway {

namespace {

    // Removals kept for gateways that are behind; a gateway further behind gets the full catalog.
    constexpr std::size_t maxTombstones = 512;

    // Heartbeats are not passed on: they change the sequence number, which is not decoded, and the remaining warm-up time, which
    // each gateway counts down by itself.
    bool equalExceptWarmup(ServerRecord a, const ServerRecord& b)
    {
        a.warmupLeftMs = b.warmupLeftMs;
        return a == b;
    }

}

Catalog::Catalog(Net::EventLoop& loop, Common::EventLog& log, Backends& backends, RequestRouter& router, CatalogOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_backends(backends)
    , m_router(router)
    , m_options(std::move(options))
    , m_freshAsOf(loop.now() - std::chrono::hours(1))
{
}

CatalogPosition Catalog::position() const
{
    auto position = m_position;
    // Held removals have not been applied yet: reads and updates from this position have to contain them again.
    for (const auto& [key, version] : m_heldRemovals)
        position.registry = std::min(position.registry, version - 1);
    return position;
}

void Catalog::markFresh(Common::TimePoint asOf)
{
    m_freshAsOf = std::max(m_freshAsOf, asOf);
}

void Catalog::onStoreRecovered()
{
    if (age() < m_options.minOutage)
        return;
    m_holdUntil = m_loop.now() + m_options.removalGracePeriod;
    m_loop.cancel(m_holdTimer);
    m_holdTimer = m_loop.after(m_options.removalGracePeriod, [this] {
        m_holdTimer = 0;
        applyHeldRemovals();
    });
}

void Catalog::applyHeldRemovals()
{
    auto held = std::move(m_heldRemovals);
    m_heldRemovals.clear();
    for (const auto& [key, version] : held)
        remove(key, version);
    if (!held.empty())
        notifyChanged();
}

void Catalog::applySnapshot(const std::string& table, const std::vector<Platform::TableRow>& rows, std::uint64_t version)
{
    auto isRegistry = table == m_options.decoder.registryTable;
    auto& position = isRegistry ? m_position.registry : m_position.operators;
    if (version < position)
        return; // an older state of the store than the known one
    if (isRegistry) {
        std::vector<std::string> missing;
        for (const auto& [key, server] : m_servers) {
            auto isPresent = std::any_of(rows.begin(), rows.end(), [&key = key](const auto& row) { return row.key == key; });
            if (!isPresent)
                missing.push_back(key);
        }
        for (const auto& key : missing)
            applyRemoval(key, version);
        m_registryKnown = true;
    }
    for (const auto& row : rows)
        applyRow(row);
    position = version;
    notifyChanged();
}

void Catalog::applyChanges(const std::string& table, const std::vector<Platform::TableRow>& rows, std::uint64_t version)
{
    auto before = m_position;
    for (const auto& row : rows)
        applyRow(row);
    auto& position = table == m_options.decoder.registryTable ? m_position.registry : m_position.operators;
    position = std::max(position, version);
    if (m_position != before && !rows.empty())
        notifyChanged();
}

void Catalog::applyRow(const Platform::TableRow& row)
{
    if (row.table == m_options.decoder.registryTable)
        return row.value ? applyServer(row) : applyRemoval(row.key, row.version);
    if (row.table == m_options.decoder.operatorTable)
        applyOperator(row);
}

void Catalog::applyServer(const Platform::TableRow& row)
{
    m_heldRemovals.erase(row.key);
    auto& server = m_servers[row.key];
    if (server.row.version > row.version)
        return;
    m_tombstones.erase(row.key);
    auto decoded = m_options.decoder.server(row.key, *row.value);
    if (!decoded) {
        m_log.log(Common::EventId::RegistryRowRejected,
            { { "key", row.key },
                { "version", std::to_string(row.version) },
                { "cause", decoded.error().text } });
        if (server.record)
            m_backends.remove(row.key, row.version);
        server = { .row = row, .record = {} };
        m_newestChange = std::max(m_newestChange, row.version);
        return;
    }
    auto isHeartbeat = server.record && equalExceptWarmup(*server.record, decoded.value());
    server.record = decoded.value();
    if (isHeartbeat)
        return;
    server.row = row;
    m_newestChange = std::max(m_newestChange, row.version);
    m_backends.put(decoded.value(), row.version);
}

void Catalog::applyRemoval(const std::string& key, std::uint64_t version)
{
    if (holdsRemovals() && m_servers.contains(key)) {
        m_heldRemovals.try_emplace(key, version);
        return;
    }
    remove(key, version);
}

void Catalog::remove(const std::string& key, std::uint64_t version)
{
    auto it = m_servers.find(key);
    if (it == m_servers.end() || it->second.row.version > version)
        return;
    m_servers.erase(it);
    m_backends.remove(key, version);
    m_tombstones[key] = version;
    m_newestChange = std::max(m_newestChange, version);
    while (m_tombstones.size() > maxTombstones) {
        auto oldest = std::min_element(m_tombstones.begin(), m_tombstones.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        m_tombstoneFloor = std::max(m_tombstoneFloor, oldest->second);
        m_tombstones.erase(oldest);
    }
}

void Catalog::applyOperator(const Platform::TableRow& row)
{
    if (row.key != m_options.decoder.configurationKey || !row.value || (m_configuration && m_configuration->version >= row.version))
        return;
    auto decoded = m_options.decoder.configuration(*row.value);
    if (!decoded) {
        m_log.log(Common::EventId::ConfigurationRejected,
            { { "version", std::to_string(row.version) },
                { "cause", decoded.error().text } });
        return;
    }
    m_configuration = row;
    m_router.apply(std::make_shared<const Configuration>(std::move(decoded.value())));
}

void Catalog::apply(const CatalogUpdate& update)
{
    if (update.isFull) {
        std::vector<Platform::TableRow> servers;
        for (const auto& row : update.rows) {
            if (row.table == m_options.decoder.registryTable)
                servers.push_back(row);
            else
                applyRow(row);
        }
        applySnapshot(m_options.decoder.registryTable, servers, update.position.registry);
    } else {
        for (const auto& row : update.rows)
            applyRow(row);
    }
    m_position.registry = std::max(m_position.registry, update.position.registry);
    m_position.operators = std::max(m_position.operators, update.position.operators);
    markFresh(m_loop.now() - update.age);
    if (!update.rows.empty())
        notifyChanged();
}

bool Catalog::hasChangedSince(const CatalogPosition& from) const
{
    return from.registry == 0 || from.registry < m_newestChange || (m_configuration && m_configuration->version > from.operators);
}

CatalogUpdate Catalog::changesSince(const CatalogPosition& from) const
{
    CatalogUpdate update;
    update.position = position();
    update.age = age();
    update.isFull = from.registry == 0 || from.registry < m_tombstoneFloor;
    for (const auto& [key, server] : m_servers) {
        if (update.isFull || server.row.version > from.registry)
            update.rows.push_back(server.row);
    }
    if (!update.isFull) {
        for (const auto& [key, version] : m_tombstones) {
            if (version > from.registry)
                update.rows.push_back({ .table = m_options.decoder.registryTable, .key = key, .value = {}, .version = version });
        }
    }
    if (m_configuration && m_configuration->version > from.operators)
        update.rows.push_back(*m_configuration);
    return update;
}

void Catalog::notifyChanged()
{
    if (m_changeHandler)
        m_changeHandler();
}

}
