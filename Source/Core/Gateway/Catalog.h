#pragma once

#include <functional>
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

// Reads what the store holds; the adapter fills it.
struct CatalogDecoder {
    std::string registryTable; // a row a server
    std::string operatorTable;
    std::string configurationKey; // in the operators' table
    std::function<Common::Result<ServerRecord>(const std::string& key, const std::string& value)> server;
    std::function<Common::Result<Configuration>(const std::string& value)> configuration;
};

struct CatalogOptions {
    CatalogDecoder decoder;
    // Registry entries may lapse while the store is away, and live servers come back within 2 s of its return.
    Common::Duration lapseGrace = std::chrono::milliseconds(2300);
    // Store outages shorter than this let no entry lapse.
    Common::Duration outageFloor = std::chrono::milliseconds(1500);
};

// Store versions up to which this entry has seen the two tables.
struct CatalogPosition {
    std::uint64_t registry = 0;
    std::uint64_t operators = 0;
    bool operator==(const CatalogPosition&) const = default;
};

// A part of the catalog on its way to another entry.
struct CatalogUpdate {
    bool whole = false; // rows that are not in it do not exist
    CatalogPosition position;
    Common::Duration age {}; // of the newest look at the store
    std::vector<Platform::TableRow> rows;
};

// What this entry knows of the store's tables: applies rows from the store or from another entry to the router and the
// backend servers, and hands them on. Heartbeats that change nothing else are dropped here.
class Catalog {
public:
    Catalog(Net::EventLoop&, Common::EventLog&, Backends&, RequestRouter&, CatalogOptions);

    // From the store.
    void applyWhole(const std::string& table, const std::vector<Platform::TableRow>&, std::uint64_t version);
    void applyChanges(const std::string& table, const std::vector<Platform::TableRow>&, std::uint64_t version);
    // The store answered a look begun at `asOf`.
    void confirm(Common::TimePoint asOf);
    // The store answers again after it did not; before what it answers is applied.
    void noteOutage();

    // From another entry.
    void apply(const CatalogUpdate&);
    // For another entry that is at `position`; nothing is left out when `position` is too old.
    CatalogUpdate changesSince(const CatalogPosition& position) const;

    bool hasChangedSince(const CatalogPosition&) const;

    CatalogPosition position() const;
    // How long ago the store was last seen, directly or through others.
    Common::Duration age() const { return m_loop.now() - m_asOf; }
    // Both tables have been seen.
    bool isComplete() const { return m_seenRegistry && m_router.configuration() != nullptr; }
    // Called after each change that others have to hear of.
    void onNews(std::function<void()> hook) { m_news = std::move(hook); }

private:
    struct Entry {
        Platform::TableRow row;
        std::optional<ServerRecord> record; // nothing: the row names no server
    };

    void applyRow(const Platform::TableRow&);
    void applyServer(const Platform::TableRow&);
    void applyOperator(const Platform::TableRow&);
    void applyRemoval(const std::string& key, std::uint64_t version);
    void remove(const std::string& key, std::uint64_t version);
    void releaseHeld();
    bool holdsRemovals() const { return m_loop.now() < m_holdUntil; }
    void tell();

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Backends& m_backends;
    RequestRouter& m_router;
    CatalogOptions m_options;
    CatalogPosition m_position;
    std::map<std::string, Entry> m_servers;
    std::optional<Platform::TableRow> m_configuration;
    std::map<std::string, std::uint64_t> m_removed; // key -> version of its removal
    std::uint64_t m_removedFloor = 0; // removals up to here may have been forgotten
    std::map<std::string, std::uint64_t> m_held; // removals that may be lapses
    Common::TimePoint m_holdUntil;
    Net::EventLoop::TimerId m_holdTimer = 0;
    Common::TimePoint m_asOf;
    std::uint64_t m_newestChange = 0; // version of the newest change of the registry that is no heartbeat
    bool m_seenRegistry = false;
    std::function<void()> m_news;
};

}
