#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Clock.h"
#include "Common/Result.h"

namespace Decisions {

// The answer to a finished request, kept for duplicates of it.
struct RememberedAnswer {
    bool whole = false; // status, headers and body are stored
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class DuplicateAction {
    Start, // first request with this id: send it, then call remember() or forget()
    Join, // in flight: wait for it to end
    Replay, // recently answered: return the stored answer
    Refuse, // recently sent, but its answer is not stored
    Mismatch, // the id was used with another method, path or body
};

struct DuplicateAnswer {
    DuplicateAction action = DuplicateAction::Start;
    std::shared_ptr<const RememberedAnswer> remembered; // for Replay
};

struct DuplicateOptions {
    Common::Duration keep = std::chrono::minutes(5); // after the end of a request; older ones are evicted
    std::size_t entries = 2048; // most finished requests kept; the oldest are evicted
    std::size_t bytes = 1024 * 1024; // most bytes of stored answers; the oldest are evicted
    std::size_t answerBytes = 16 * 1024; // a larger answer is not stored, and its duplicates are refused
};

// The requests that one entry has in flight or has recently finished, by id. Not thread-safe.
class DuplicateTable {
public:
    explicit DuplicateTable(DuplicateOptions options = {});

    // Decides what to do with a request. `fingerprint` is a hash of its method, path and body.
    DuplicateAnswer begin(const std::string& key, std::uint64_t fingerprint, Common::TimePoint now);
    // The request ended and must not be sent again: keeps it, with its answer, for duplicates.
    void remember(const std::string& key, RememberedAnswer, Common::TimePoint now);
    // The request ended and may be sent again: drops it.
    void forget(const std::string& key);

    std::size_t size() const { return m_entries.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct Entry {
        std::uint64_t fingerprint = 0;
        bool inFlight = true;
        Common::TimePoint expiresAt;
        std::shared_ptr<const RememberedAnswer> answer;
        std::size_t bytes = 0;
    };

    void evict(Common::TimePoint now);
    void evictOldest();

    DuplicateOptions m_options;
    std::unordered_map<std::string, Entry> m_entries;
    std::list<std::string> m_finished; // oldest first
    std::size_t m_bytes = 0;
};

}
