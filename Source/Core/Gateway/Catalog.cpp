#include "Gateway/Catalog.h"

#include <algorithm>

namespace Gateway {

namespace {

    // Removals remembered for entries that are behind; older ones get the whole catalog.
    constexpr std::size_t maxRemembered = 512;

    // What a heartbeat changes is no news: the sequence is not decoded, and the rest of a warm-up runs down by itself.
    bool sameButForWarmup(ServerRecord a, const ServerRecord& b)
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
    , m_asOf(loop.now() - std::chrono::hours(1))
{
}

CatalogPosition Catalog::position() const
{
    auto position = m_position;
    // Removals on hold have not been applied yet: whoever continues from here has to see them again.
    for (const auto& [key, version] : m_held)
        position.registry = std::min(position.registry, version - 1);
    return position;
}

void Catalog::confirm(Common::TimePoint asOf)
{
    m_asOf = std::max(m_asOf, asOf);
}

void Catalog::noteOutage()
{
    if (age() < m_options.outageFloor)
        return;
    m_holdUntil = m_loop.now() + m_options.lapseGrace;
    m_loop.cancel(m_holdTimer);
    m_holdTimer = m_loop.after(m_options.lapseGrace, [this] {
        m_holdTimer = 0;
        releaseHeld();
    });
}

void Catalog::releaseHeld()
{
    auto held = std::move(m_held);
    m_held.clear();
    for (const auto& [key, version] : held)
        remove(key, version);
    if (!held.empty())
        tell();
}

void Catalog::applyWhole(const std::string& table, const std::vector<Platform::TableRow>& rows, std::uint64_t version)
{
    auto isRegistry = table == m_options.decoder.registryTable;
    auto& position = isRegistry ? m_position.registry : m_position.operators;
    if (version < position)
        return; // an older state of the store than the one known
    if (isRegistry) {
        std::vector<std::string> missing;
        for (const auto& [key, entry] : m_servers) {
            auto isThere = std::any_of(rows.begin(), rows.end(), [&key = key](const auto& row) { return row.key == key; });
            if (!isThere)
                missing.push_back(key);
        }
        for (const auto& key : missing)
            applyRemoval(key, version);
        m_seenRegistry = true;
    }
    for (const auto& row : rows)
        applyRow(row);
    position = version;
    tell();
}

void Catalog::applyChanges(const std::string& table, const std::vector<Platform::TableRow>& rows, std::uint64_t version)
{
    auto before = m_position;
    for (const auto& row : rows)
        applyRow(row);
    auto& position = table == m_options.decoder.registryTable ? m_position.registry : m_position.operators;
    position = std::max(position, version);
    if (m_position != before && !rows.empty())
        tell();
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
    m_held.erase(row.key);
    auto& entry = m_servers[row.key];
    if (entry.row.version > row.version)
        return;
    m_removed.erase(row.key);
    auto decoded = m_options.decoder.server(row.key, *row.value);
    if (!decoded) {
        m_log.log(Common::EventId::RegistryRowRejected, { { "key", row.key }, { "version", std::to_string(row.version) }, { "cause", decoded.error().text } });
        if (entry.record)
            m_backends.remove(row.key, row.version);
        entry = { .row = row, .record = {} };
        m_newestChange = std::max(m_newestChange, row.version);
        return;
    }
    auto isHeartbeat = entry.record && sameButForWarmup(*entry.record, decoded.value());
    entry.record = decoded.value();
    if (isHeartbeat)
        return;
    entry.row = row;
    m_newestChange = std::max(m_newestChange, row.version);
    m_backends.put(decoded.value(), row.version);
}

void Catalog::applyRemoval(const std::string& key, std::uint64_t version)
{
    if (holdsRemovals() && m_servers.contains(key)) {
        m_held.try_emplace(key, version);
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
    m_removed[key] = version;
    m_newestChange = std::max(m_newestChange, version);
    while (m_removed.size() > maxRemembered) {
        auto oldest = std::min_element(m_removed.begin(), m_removed.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        m_removedFloor = std::max(m_removedFloor, oldest->second);
        m_removed.erase(oldest);
    }
}

void Catalog::applyOperator(const Platform::TableRow& row)
{
    if (row.key != m_options.decoder.configurationKey || !row.value || (m_configuration && m_configuration->version >= row.version))
        return;
    auto decoded = m_options.decoder.configuration(*row.value);
    if (!decoded) {
        m_log.log(Common::EventId::ConfigurationRejected, { { "version", std::to_string(row.version) }, { "cause", decoded.error().text } });
        return;
    }
    m_configuration = row;
    m_router.apply(std::make_shared<const Configuration>(std::move(decoded.value())));
}

void Catalog::apply(const CatalogUpdate& update)
{
    if (update.whole) {
        std::vector<Platform::TableRow> servers;
        for (const auto& row : update.rows) {
            if (row.table == m_options.decoder.registryTable)
                servers.push_back(row);
            else
                applyRow(row);
        }
        applyWhole(m_options.decoder.registryTable, servers, update.position.registry);
    } else {
        for (const auto& row : update.rows)
            applyRow(row);
    }
    m_position.registry = std::max(m_position.registry, update.position.registry);
    m_position.operators = std::max(m_position.operators, update.position.operators);
    confirm(m_loop.now() - update.age);
    if (!update.rows.empty())
        tell();
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
    update.whole = from.registry == 0 || from.registry < m_removedFloor;
    for (const auto& [key, entry] : m_servers) {
        if (update.whole || entry.row.version > from.registry)
            update.rows.push_back(entry.row);
    }
    if (!update.whole) {
        for (const auto& [key, version] : m_removed) {
            if (version > from.registry)
                update.rows.push_back({ .table = m_options.decoder.registryTable, .key = key, .value = {}, .version = version });
        }
    }
    if (m_configuration && m_configuration->version > from.operators)
        update.rows.push_back(*m_configuration);
    return update;
}

void Catalog::tell()
{
    if (m_news)
        m_news();
}

}
