#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <Poco/Net/StreamSocket.h>

namespace Entry {

// All callers' connections of one entry, in shards, so that shutdown can end them. Thread-safe.
class ConnectionRegistry {
public:
    // One connection's place; removes itself.
    class Place {
    public:
        Place(ConnectionRegistry&, const Poco::Net::StreamSocket&);
        ~Place();
        Place(const Place&) = delete;
        Place& operator=(const Place&) = delete;

        // Whether a request is being served on it.
        void setBusy(bool busy) { m_entry->busy = busy; }

    private:
        friend class ConnectionRegistry;
        struct Entry {
            explicit Entry(const Poco::Net::StreamSocket& connection)
                : socket(connection)
            {
            }
            Poco::Net::StreamSocket socket;
            std::atomic<bool> busy { false };
        };

        ConnectionRegistry& m_registry;
        std::uint64_t m_number;
        std::shared_ptr<Entry> m_entry;
    };

    int count() const { return m_count; }
    // Ends connections without a request. One that arrives at this moment is still read and served.
    void endIdle();
    // Cuts every connection at once.
    void abortAll();

private:
    struct Shard {
        std::mutex mutex;
        std::unordered_map<std::uint64_t, std::shared_ptr<Place::Entry>> entries;
    };
    static constexpr std::size_t shardCount = 16;

    Shard& shardOf(std::uint64_t number) { return m_shards[number % shardCount]; }

    std::array<Shard, shardCount> m_shards;
    std::atomic<std::uint64_t> m_lastNumber { 0 };
    std::atomic<int> m_count { 0 };
};

}
