#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/EventLog.h"
#include "Gateway/Backends.h"
#include "Gateway/RequestRouter.h"
#include "Platform/AsyncTable.h"

namespace Gateway {

// Where the store keeps the registry and the configuration, and how to decode their rows. Set by the platform adapter.
struct CatalogDecoder {
    std::string registryTable; // one row for each server; key: server name
    std::string operatorTable; // written by the operators
    std::string configurationKey; // row of operatorTable
    std::string evacuationPrefix = {}; // of the keys of operatorTable's rows that name a failure domain to be evacuated
    std::function<Common::Result<ServerRecord>(const std::string& key, const std::string& value)> server;
    std::function<ConfigurationReading(const std::string& value)> configuration;
};

struct CatalogOptions {
    CatalogDecoder decoder;
    // How long removals are held back after the store has become reachable again. Registry rows may expire during an outage,
    // and live servers write theirs again within 2 s of its end.
    Common::Duration removalGracePeriod = std::chrono::milliseconds(2300);
    // After outages shorter than this, removals are not held back: no registry row expires in them.
    Common::Duration minOutage = std::chrono::milliseconds(1500);
    Common::Duration serverHeartbeat = std::chrono::milliseconds(1500); // interval at which live servers renew their rows
};

// The store versions up to which the two tables are known. Positions of different eras can't be compared: the store has given
// out the same versions again.
struct CatalogPosition {
    // In place of `evacuations`: the gateway is of a version that does not know them.
    static constexpr auto takesNoEvacuations = std::numeric_limits<std::uint64_t>::max();

    std::uint64_t era = 0; // of the store's data; 0: not told
    std::uint64_t registry = 0; // 0: the table has not been read
    std::uint64_t operators = 0; // 0: the table has not been read
    // Version of the operators' table up to which the evacuated failure domains are known, 0: not known. Gateways of older versions pass
    // on the configuration only, so it may lie before `operators`.
    std::uint64_t evacuations = 0;
    bool operator==(const CatalogPosition&) const = default;
};

// Changes of the catalog since a position, or the full catalog, for another gateway.
struct CatalogUpdate {
    bool isFull = false; // registry rows not in it do not exist
    // The sender knows every removal up to its position. Gateways of versions without this field do not tell, and may keep servers that
    // have left.
    bool knowsRemovals = false;
    bool hasAllEvacuations = false; // evacuations not in it are over
    CatalogPosition position;
    Common::Duration age {}; // since the last read of the store
    // Upper bound on the time since the store confirmed the configuration in it; nullopt: not known, or not told by older versions.
    std::optional<Common::Duration> configurationAge = {};
    std::vector<Platform::TableRow> rows;
    // Time for which the sender has had the registry rows of servers that were cold then, by key. Older versions don't tell it.
    std::map<std::string, Common::Duration> rowAges = {};
};

// The contents of the store's tables as this gateway knows them. Applies rows read from the store or received from another
// gateway to the router and the backend servers, and keeps them for other gateways. Rows in which only the heartbeat changed
// are dropped.
class Catalog {
public:
    Catalog(Net::EventLoop&, Common::EventLog&, Backends&, RequestRouter&, CatalogOptions);

    // For rows read from the store: the full table, or its changes up to `version`.
    void applySnapshot(const std::string& table, const std::vector<Platform::TableRow>&, std::uint64_t version);
    void applyChanges(const std::string& table, const std::vector<Platform::TableRow>&, std::uint64_t version);
    // The catalog was in line with the store at `asOf`, when the read that confirmed it began.
    void markFresh(Common::TimePoint asOf);
    // The store held no newer configuration than the one received here when it was asked, at `bootTime`. Has no effect while the one
    // received last can't be used: what is in force is older.
    void confirmConfiguration(Common::TimePoint bootTime);
    // Upper bound on the time since the configuration in force was confirmed; nullopt: it never was.
    std::optional<Common::Duration> configurationAge() const;
    // The store's data were restored from an older copy. Positions start anew, and both tables have to be read in full. Servers that
    // are missing in the copy are kept for removalGracePeriod; rows that contradict what is known of an incarnation (it has left,
    // or is draining) are not believed until the server renews them.
    void beginEra(std::uint64_t era);
    // Whether this process has seen the era change.
    bool hasEraChanged() const { return m_eraChanged; }
    // The store has become reachable again. Has to be called before the rows it returned are applied.
    void onStoreRecovered();

    // For an update received from another gateway. Returns false, and changes nothing, if it is of an older era.
    bool apply(const CatalogUpdate&);
    // The update for a gateway at `position`; the full catalog if not all removals since then are known.
    CatalogUpdate changesSince(const CatalogPosition& position) const;

    bool hasChangedSince(const CatalogPosition&) const;
    // From which changes of the operators' table have to be read; 0: it has to be read in full.
    std::uint64_t operatorsPosition() const { return std::min(m_position.operators, m_position.evacuations); }
    // Whether updates can be given to a gateway at this position: not if it names no era, and the era has changed.
    bool canServe(const CatalogPosition& position) const { return position.era != 0 || position.registry == 0 || !m_eraChanged; }
    // Whether the registry has been read since the era began.
    bool isReadInEra() const { return m_position.registry != 0; }

    // That other gateways get to with an update, and from which the store is read. Removals held back come after it.
    CatalogPosition position() const;
    // Up to which changes have been received, removals held back included.
    const CatalogPosition& receivedPosition() const { return m_position; }
    // Whether every server that left before the position has been removed, or is held back.
    bool knowsRemovals() const { return m_knowsRemovals; }
    // Time since the last read of the store by this gateway or by the one that the catalog came from.
    Common::Duration age() const { return m_loop.now() - m_freshAsOf; }
    // Registry and configuration are known.
    bool isComplete() const { return m_registryKnown && m_router.configuration() != nullptr; }
    // Called after each change that has to be passed on to other gateways.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

private:
    struct ServerRow {
        Platform::TableRow row;
        std::optional<ServerRecord> record; // empty if the row could not be decoded
        Common::TimePoint asOf; // of the remaining warm-up in the row and the record
    };
    struct Tombstone {
        std::uint64_t version = 0; // of the removal
        std::optional<std::int64_t> startedMs; // of the incarnation that was removed; empty if it was not known here
    };
    // Versions between two positions (exclusive), over which a snapshot of the registry led without the changes.
    struct VersionGap {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        bool contains(std::uint64_t version) const { return version > from && version < to; }
    };

    void applyRow(const Platform::TableRow&);
    // `age`: time for which another gateway has had the row.
    void applyServer(const Platform::TableRow&, Common::Duration age = {});
    int warmupLeftMs(const ServerRow&) const;
    bool becomesCold(const ServerRow&, int newLeftMs) const;
    void applyOperator(const Platform::TableRow&);
    bool isEvacuation(const Platform::TableRow&) const;
    void applyEvacuation(const Platform::TableRow&);
    // `rows`: all of the operators' table.
    void applyAllEvacuations(const std::vector<Platform::TableRow>& rows, std::uint64_t version);
    void updateEvacuations();
    bool haveEvacuationsChangedSince(std::uint64_t version) const;
    void addEvacuations(CatalogUpdate&, std::uint64_t from) const;
    void applyRemoval(const std::string& key, std::uint64_t version);
    void remove(const std::string& key, std::uint64_t version);
    void onSnapshotApplied(std::uint64_t before, std::uint64_t version);
    bool knowsRemovalsSince(std::uint64_t version) const;
    bool isRemoved(const Platform::TableRow&) const;
    void holdRemovals();
    void applyHeldRemovals();
    bool contradictsKnown(const std::string& key, const ServerRecord&) const;
    void applyUnconfirmedRows();
    bool holdsRemovals() const { return m_loop.now() < m_holdUntil; }
    void notifyChanged();

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Backends& m_backends;
    RequestRouter& m_router;
    CatalogOptions m_options;
    CatalogPosition m_position;
    std::map<std::string, ServerRow> m_servers; // by row key
    std::map<std::string, Common::Duration> m_rowAges; // of the update that is being applied
    std::optional<Platform::TableRow> m_configuration;
    std::optional<std::uint64_t> m_unusableConfiguration; // version of the row of a newer configuration that can't be put in force
    std::map<std::string, std::uint64_t> m_evacuations; // row key -> version
    std::map<std::string, std::uint64_t> m_endedEvacuations; // row key -> version of the removal
    std::uint64_t m_evacuationFloor = 0; // evacuations that ended before this version may not be in m_endedEvacuations
    std::uint64_t m_newestEvacuationChange = 0; // version
    std::map<std::string, Tombstone> m_tombstones; // by row key
    std::uint64_t m_tombstoneFloor = 0; // removals before this version may have no tombstone
    VersionGap m_snapshotGap; // rows that came and left within it were never known here
    bool m_knowsRemovals = true;
    std::map<std::string, std::int64_t> m_departed; // removed in an earlier era: row key -> start time of the incarnation
    std::map<std::string, Platform::TableRow> m_unconfirmed; // rows of this era's first snapshot that are not believed yet, by key
    std::optional<std::uint64_t> m_firstSnapshotVersion; // of the registry in this era, if it is not the first era
    Net::EventLoop::TimerId m_unconfirmedTimer = 0;
    bool m_eraChanged = false;
    std::map<std::string, std::uint64_t> m_heldRemovals; // row key -> version; may be expiries during an outage of the store
    Common::TimePoint m_holdUntil; // until which removals are held back
    Net::EventLoop::TimerId m_holdTimer = 0;
    Common::TimePoint m_freshAsOf;
    std::optional<Common::TimePoint> m_configurationConfirmed; // boot time
    std::uint64_t m_newestChange = 0; // version of the newest registry change that is not just a heartbeat
    bool m_registryKnown = false;
    std::function<void()> m_changeHandler;
};

}
