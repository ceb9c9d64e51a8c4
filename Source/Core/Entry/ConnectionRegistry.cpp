#include "Entry/ConnectionRegistry.h"

#include <Poco/Exception.h>

namespace Entry {

namespace {

    // Ends one direction or both; a connection that is gone already is no error.
    void shutDown(Poco::Net::StreamSocket& socket, bool both)
    {
        try {
            if (both)
                socket.shutdown();
            else
                socket.shutdownReceive();
        } catch (const Poco::Exception&) {
            return;
        }
    }

}

ConnectionRegistry::Place::Place(ConnectionRegistry& registry, const Poco::Net::StreamSocket& socket)
    : m_registry(registry)
    , m_number(++registry.m_lastNumber)
    , m_entry(std::make_shared<Entry>(socket))
{
    auto& shard = registry.shardOf(m_number);
    std::lock_guard lock(shard.mutex);
    shard.entries.emplace(m_number, m_entry);
    ++registry.m_count;
}

ConnectionRegistry::Place::~Place()
{
    auto& shard = m_registry.shardOf(m_number);
    std::lock_guard lock(shard.mutex);
    shard.entries.erase(m_number);
    --m_registry.m_count;
}

void ConnectionRegistry::endIdle()
{
    for (auto& shard : m_shards) {
        std::lock_guard lock(shard.mutex);
        for (auto& [number, entry] : shard.entries) {
            // Only the receiving side: bytes that have arrived stay readable, so a request is never cut here.
            if (!entry->busy)
                shutDown(entry->socket, false);
        }
    }
}

void ConnectionRegistry::abortAll()
{
    for (auto& shard : m_shards) {
        std::lock_guard lock(shard.mutex);
        for (auto& [number, entry] : shard.entries)
            shutDown(entry->socket, true);
    }
}

}
