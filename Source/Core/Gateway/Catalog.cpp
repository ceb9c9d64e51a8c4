#include "Gateway/Catalog.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

    // Removals kept for gateways that are behind; a gateway further behind gets the full catalog.
    constexpr std::size_t maxTombstones = 512;
    // The same for ended evacuations. Operators evacuate a failure domain at a time.
    constexpr std::size_t maxEndedEvacuations = 64;
    // Rows of the copy that the store was restored from are believed after this many heartbeats: by then the store has dropped those
    // of servers that no longer live, which it does after three.
    constexpr int heartbeatsToConfirm = 4;

    // The registry's rows are read up to a second late: by so much the remaining warm-up of two of them may differ.
    constexpr int warmupJitterMs = 1000;

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

void Catalog::confirmConfiguration(Common::TimePoint bootTime)
{
    if (!m_unusableConfiguration)
        m_configurationConfirmed = std::max(m_configurationConfirmed.value_or(bootTime), bootTime);
}

std::optional<Common::Duration> Catalog::configurationAge() const
{
    return m_configurationConfirmed ? std::optional(Common::bootTime(m_loop.hooks()) - *m_configurationConfirmed) : std::nullopt;
}

void Catalog::beginEra(std::uint64_t era)
{
    auto before = m_position;
    m_position = { .era = era };
    if (before == CatalogPosition())
        return;
    m_log.log(Common::EventId::StoreEraChanged,
        { { "era", std::to_string(era) }, { "before", std::to_string(before.era) }, { "position", std::to_string(before.registry) } });
    m_eraChanged = true;
    for (auto& [key, server] : m_servers)
        server.row.version = 0;
    for (const auto& [key, tombstone] : m_tombstones) {
        if (tombstone.startedMs)
            m_departed[key] = *tombstone.startedMs;
    }
    m_tombstones.clear();
    m_tombstoneFloor = 0;
    m_snapshotGap = {};
    m_heldRemovals.clear();
    m_unconfirmed.clear();
    m_firstSnapshotVersion.reset();
    m_newestChange = 0;
    if (m_configuration)
        m_configuration->version = 0;
    if (m_unusableConfiguration)
        m_unusableConfiguration = 0;
    // What is evacuated stays so until the table has been read in the new era.
    for (auto& [key, version] : m_evacuations)
        version = 0;
    m_endedEvacuations.clear();
    m_evacuationFloor = 0;
    m_newestEvacuationChange = 0;
    holdRemovals();
    m_loop.cancel(m_unconfirmedTimer);
    m_unconfirmedTimer = m_loop.after(heartbeatsToConfirm * m_options.serverHeartbeat, [this] {
        m_unconfirmedTimer = 0;
        applyUnconfirmedRows();
    });
}

// Whether a row tells of an incarnation what is known to be over: that it is registered although it was removed, or ready
// although it is draining, or that an earlier incarnation is running.
bool Catalog::contradictsKnown(const std::string& key, const ServerRecord& record) const
{
    auto departed = m_departed.find(key);
    if (departed != m_departed.end() && record.startedMs <= departed->second)
        return true;
    auto it = m_servers.find(key);
    if (it == m_servers.end() || !it->second.record)
        return false;
    const auto& known = *it->second.record;
    return record.startedMs < known.startedMs || (record.startedMs == known.startedMs && known.draining && !record.draining);
}

void Catalog::applyUnconfirmedRows()
{
    m_departed.clear();
    auto rows = std::move(m_unconfirmed);
    m_unconfirmed.clear();
    for (const auto& [key, row] : rows)
        applyServer(row);
    if (!rows.empty())
        notifyChanged();
}

void Catalog::onStoreRecovered()
{
    if (age() >= m_options.minOutage)
        holdRemovals();
}

void Catalog::holdRemovals()
{
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
        if (m_eraChanged && !m_firstSnapshotVersion)
            m_firstSnapshotVersion = version;
        std::erase_if(m_unconfirmed, [&](const auto& unconfirmed) {
            return std::none_of(rows.begin(), rows.end(), [&](const auto& row) { return row.key == unconfirmed.first; });
        });
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
    for (const auto& row : rows) {
        if (!isEvacuation(row))
            applyRow(row);
    }
    if (table == m_options.decoder.operatorTable)
        applyAllEvacuations(rows, version);
    auto before = std::exchange(position, version);
    if (isRegistry)
        onSnapshotApplied(before, version);
    notifyChanged();
}

// A snapshot does not tell which servers left before it. Other gateways may still hold those that were never known here.
void Catalog::onSnapshotApplied(std::uint64_t before, std::uint64_t version)
{
    m_knowsRemovals = true;
    // Removals held back have the snapshot's version, so the position given to others is the one before.
    auto to = m_heldRemovals.empty() ? version : version - 1;
    if (before == 0) {
        m_tombstoneFloor = std::max(m_tombstoneFloor, to);
        return;
    }
    m_tombstoneFloor = std::max(m_tombstoneFloor, m_snapshotGap.to);
    m_snapshotGap = { .from = before, .to = to };
}

bool Catalog::knowsRemovalsSince(std::uint64_t version) const
{
    return version != 0 && version >= m_tombstoneFloor && !m_snapshotGap.contains(version);
}

void Catalog::applyChanges(const std::string& table, const std::vector<Platform::TableRow>& rows, std::uint64_t version)
{
    auto before = m_position;
    for (const auto& row : rows)
        applyRow(row);
    auto& position = table == m_options.decoder.registryTable ? m_position.registry : m_position.operators;
    position = std::max(position, version);
    if (table == m_options.decoder.operatorTable)
        m_position.evacuations = std::max(m_position.evacuations, version);
    if (m_position != before && !rows.empty())
        notifyChanged();
}

void Catalog::applyRow(const Platform::TableRow& row)
{
    if (row.table == m_options.decoder.registryTable) {
        auto age = m_rowAges.find(row.key);
        return row.value ? applyServer(row, age == m_rowAges.end() ? Common::Duration::zero() : age->second) : applyRemoval(row.key, row.version);
    }
    if (row.table == m_options.decoder.operatorTable)
        applyOperator(row);
}

// Remaining warm-up as of now.
int Catalog::warmupLeftMs(const ServerRow& server) const
{
    auto elapsedMs = static_cast<std::int64_t>(Common::toMilliseconds(m_loop.now() - server.asOf));
    return server.record ? static_cast<int>(std::max<std::int64_t>(0, server.record->warmupLeftMs - elapsedMs)) : 0;
}

// Whether a heartbeat says that a warm server is cold, or one that is getting warm is cold anew.
bool Catalog::becomesCold(const ServerRow& server, int newLeftMs) const
{
    auto leftMs = warmupLeftMs(server);
    return newLeftMs > (leftMs == 0 ? 0 : leftMs + warmupJitterMs);
}

void Catalog::applyServer(const Platform::TableRow& row, Common::Duration age)
{
    m_heldRemovals.erase(row.key);
    auto known = m_servers.find(row.key);
    if (known != m_servers.end() && known->second.row.version > row.version)
        return;
    auto decoded = m_options.decoder.server(row.key, *row.value);
    auto isOfFirstSnapshot = m_unconfirmedTimer != 0 && (!m_firstSnapshotVersion || row.version <= *m_firstSnapshotVersion);
    if (isOfFirstSnapshot && decoded && contradictsKnown(row.key, decoded.value())) {
        m_unconfirmed.insert_or_assign(row.key, row);
        return;
    }
    m_unconfirmed.erase(row.key);
    m_departed.erase(row.key);
    m_tombstones.erase(row.key);
    auto& server = m_servers[row.key];
    if (!decoded) {
        m_log.log(Common::EventId::RegistryRowRejected,
            { { "key", row.key },
                { "version", std::to_string(row.version) },
                { "cause", decoded.error().text } });
        if (server.record)
            m_backends.remove(row.key, row.version);
        server = { .row = row, .record = {}, .asOf = m_loop.now() };
        m_newestChange = std::max(m_newestChange, row.version);
        return;
    }
    // Rows from another gateway say what was left when that gateway got them.
    ServerRow next { .row = row, .record = decoded.value(), .asOf = m_loop.now() - age };
    auto isHeartbeat = server.record && equalExceptWarmup(*server.record, decoded.value()) && !becomesCold(server, warmupLeftMs(next));
    server.record = next.record;
    server.asOf = next.asOf;
    if (isHeartbeat) {
        // For gateways that get the full catalog. The version stays, so that others are not sent it.
        server.row.value = row.value;
        return;
    }
    server.row = row;
    m_newestChange = std::max(m_newestChange, row.version);
    auto record = *server.record;
    record.warmupLeftMs = warmupLeftMs(server);
    m_backends.put(record, row.version);
}

void Catalog::applyRemoval(const std::string& key, std::uint64_t version)
{
    m_unconfirmed.erase(key);
    if (holdsRemovals() && m_servers.contains(key)) {
        m_heldRemovals.try_emplace(key, version);
        return;
    }
    remove(key, version);
}

void Catalog::remove(const std::string& key, std::uint64_t version)
{
    auto it = m_servers.find(key);
    if (it != m_servers.end() && it->second.row.version > version)
        return;
    // Also for a row that is not known here: gateways that follow this one may know it.
    auto& tombstone = m_tombstones[key];
    tombstone.version = std::max(tombstone.version, version);
    if (it != m_servers.end()) {
        tombstone.startedMs = it->second.record ? it->second.record->startedMs : 0;
        m_servers.erase(it);
        m_backends.remove(key, version);
    }
    m_newestChange = std::max(m_newestChange, version);
    while (m_tombstones.size() > maxTombstones) {
        auto oldest = std::min_element(m_tombstones.begin(), m_tombstones.end(),
            [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
        m_tombstoneFloor = std::max(m_tombstoneFloor, oldest->second.version);
        m_tombstones.erase(oldest);
    }
}

bool Catalog::isEvacuation(const Platform::TableRow& row) const
{
    const auto& prefix = m_options.decoder.evacuationPrefix;
    return row.table == m_options.decoder.operatorTable && !prefix.empty() && row.key.starts_with(prefix);
}

void Catalog::applyEvacuation(const Platform::TableRow& row)
{
    // What happened up to the position is known, so an older row, be it unknown, is of an evacuation that has ended.
    if (row.version <= m_position.evacuations)
        return;
    auto known = m_evacuations.find(row.key);
    auto ended = m_endedEvacuations.find(row.key);
    if ((known != m_evacuations.end() && known->second > row.version) || (ended != m_endedEvacuations.end() && ended->second > row.version))
        return;
    m_newestEvacuationChange = std::max(m_newestEvacuationChange, row.version);
    if (row.value) {
        m_endedEvacuations.erase(row.key);
        m_evacuations[row.key] = row.version;
    } else {
        m_evacuations.erase(row.key);
        m_endedEvacuations[row.key] = row.version;
    }
    while (m_endedEvacuations.size() > maxEndedEvacuations) {
        auto oldest = std::min_element(m_endedEvacuations.begin(), m_endedEvacuations.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        m_evacuationFloor = std::max(m_evacuationFloor, oldest->second);
        m_endedEvacuations.erase(oldest);
    }
    updateEvacuations();
}

// A full read does not tell which evacuations ended before it: gateways that are behind get all that are left.
void Catalog::applyAllEvacuations(const std::vector<Platform::TableRow>& rows, std::uint64_t version)
{
    if (version < m_position.evacuations)
        return;
    m_evacuations.clear();
    m_endedEvacuations.clear();
    for (const auto& row : rows) {
        if (isEvacuation(row) && row.value)
            m_evacuations[row.key] = row.version;
    }
    m_evacuationFloor = version;
    m_position.evacuations = version;
    updateEvacuations();
}

void Catalog::updateEvacuations()
{
    std::set<std::string> domains;
    for (const auto& [key, version] : m_evacuations)
        domains.insert(key.substr(m_options.decoder.evacuationPrefix.size()));
    m_backends.setEvacuatedDomains(domains);
}

bool Catalog::haveEvacuationsChangedSince(std::uint64_t version) const
{
    return version < m_position.evacuations && (version < m_evacuationFloor || version < m_newestEvacuationChange);
}

void Catalog::addEvacuations(CatalogUpdate& update, std::uint64_t from) const
{
    if (m_position.evacuations == 0 || from == CatalogPosition::takesNoEvacuations)
        return;
    auto add = [&](const std::string& key, std::optional<std::string> value, std::uint64_t version) {
        if (update.hasAllEvacuations || version > from)
            update.rows.push_back({ .table = m_options.decoder.operatorTable, .key = key, .value = std::move(value), .version = version });
    };
    update.hasAllEvacuations = update.isFull || from < m_evacuationFloor;
    for (const auto& [key, version] : m_evacuations)
        add(key, "{}", version);
    if (update.hasAllEvacuations)
        return;
    for (const auto& [key, version] : m_endedEvacuations)
        add(key, std::nullopt, version);
}

void Catalog::applyOperator(const Platform::TableRow& row)
{
    if (isEvacuation(row))
        return applyEvacuation(row);
    if (row.key != m_options.decoder.configurationKey || !row.value || (m_configuration && m_configuration->version >= row.version))
        return;
    auto reading = m_options.decoder.configuration(*row.value);
    if (!reading.isUsable()) {
        m_unusableConfiguration = row.version;
        m_log.log(Common::EventId::ConfigurationRejected,
            { { "version", std::to_string(row.version) },
                { "cause", reading.errorText() } });
        return;
    }
    if (m_unusableConfiguration && row.version > *m_unusableConfiguration)
        m_unusableConfiguration.reset();
    // The store may hold an older configuration than the one in force, if it was restored from a copy or the operators made a mistake.
    // Neither this gateway nor those that learn from it go back.
    auto inForce = m_router.configuration();
    if (m_configuration && inForce && reading.configuration.version < inForce->version) {
        m_log.log(Common::EventId::ConfigurationRejected,
            { { "version", std::to_string(row.version) },
                { "cause", "configuration " + std::to_string(reading.configuration.version) + " is older than the one in force, " + std::to_string(inForce->version) } });
        return;
    }
    if (!reading.errors.empty()) {
        m_log.log(Common::EventId::ConfigurationIncomplete,
            { { "version", std::to_string(row.version) },
                { "cause", reading.errorText() } });
    }
    m_configuration = row;
    m_router.apply(std::make_shared<const Configuration>(std::move(reading.configuration)));
}

bool Catalog::apply(const CatalogUpdate& update)
{
    // Gateways of versions before eras tell none; their positions mean the same as long as the store has not changed its era.
    auto isOutdated = update.position.era < m_position.era && (update.position.era != 0 || m_eraChanged);
    if (isOutdated)
        return false;
    if (update.position.era > m_position.era) {
        if (!update.isFull)
            return false;
        beginEra(update.position.era);
    }
    auto isAhead = update.position.registry > m_position.registry;
    m_rowAges = update.rowAges;
    if (update.isFull) {
        std::vector<Platform::TableRow> servers;
        for (const auto& row : update.rows) {
            if (isEvacuation(row))
                continue;
            if (row.table != m_options.decoder.registryTable)
                applyRow(row);
            else if (!isRemoved(row))
                servers.push_back(row);
        }
        auto isUsed = update.position.registry >= m_position.registry;
        applySnapshot(m_options.decoder.registryTable, servers, update.position.registry);
        if (isUsed)
            m_knowsRemovals = update.knowsRemovals;
    } else {
        for (const auto& row : update.rows) {
            if (!isRemoved(row) && !isEvacuation(row))
                applyRow(row);
        }
        if (isAhead)
            m_knowsRemovals = m_knowsRemovals && update.knowsRemovals;
    }
    m_rowAges.clear();
    // A gateway that knows no evacuations, or is of a version that passes none on, ends none by that.
    if (update.position.evacuations > m_position.evacuations) {
        if (update.hasAllEvacuations) {
            applyAllEvacuations(update.rows, update.position.evacuations);
        } else {
            for (const auto& row : update.rows) {
                if (isEvacuation(row))
                    applyEvacuation(row);
            }
            m_position.evacuations = update.position.evacuations;
        }
    }
    m_position.registry = std::max(m_position.registry, update.position.registry);
    m_position.operators = std::max(m_position.operators, update.position.operators);
    markFresh(m_loop.now() - update.age);
    if (update.configurationAge)
        confirmConfiguration(Common::bootTime(m_loop.hooks()) - *update.configurationAge);
    if (!update.rows.empty() || update.hasAllEvacuations)
        notifyChanged();
    return true;
}

// Whether a row from another gateway is older than its removal: a gateway that missed the removal still holds it.
bool Catalog::isRemoved(const Platform::TableRow& row) const
{
    auto it = m_tombstones.find(row.key);
    return row.table == m_options.decoder.registryTable && row.value && it != m_tombstones.end() && it->second.version >= row.version;
}

bool Catalog::hasChangedSince(const CatalogPosition& from) const
{
    if (from.era != m_position.era && from.era != 0)
        return from.era < m_position.era;
    return !knowsRemovalsSince(from.registry) || from.registry < m_newestChange || haveEvacuationsChangedSince(from.evacuations) || (m_configuration && m_configuration->version > from.operators);
}

CatalogUpdate Catalog::changesSince(const CatalogPosition& from) const
{
    CatalogUpdate update;
    update.position = position();
    update.age = age();
    update.configurationAge = configurationAge();
    if (from.era > m_position.era)
        return update; // nothing known here is of that era
    auto isOlderEra = from.era < m_position.era && from.era != 0;
    update.isFull = isOlderEra || !knowsRemovalsSince(from.registry);
    update.knowsRemovals = m_knowsRemovals;
    for (const auto& [key, server] : m_servers) {
        if (!update.isFull && server.row.version <= from.registry)
            continue;
        update.rows.push_back(server.row);
        if (server.record && server.record->warmupLeftMs > 0)
            update.rowAges[key] = m_loop.now() - server.asOf;
    }
    if (!update.isFull) {
        for (const auto& [key, tombstone] : m_tombstones) {
            if (tombstone.version > from.registry)
                update.rows.push_back({ .table = m_options.decoder.registryTable, .key = key, .value = {}, .version = tombstone.version });
        }
    }
    if (m_configuration && (update.isFull || m_configuration->version > from.operators))
        update.rows.push_back(*m_configuration);
    addEvacuations(update, from.evacuations);
    return update;
}

void Catalog::notifyChanged()
{
    if (m_changeHandler)
        m_changeHandler();
}

}
