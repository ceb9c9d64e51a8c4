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

// How a finished request ended, for those that ask again.
struct RememberedAnswer {
    bool whole = false; // status, headers and body are held
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class DuplicateAction {
    Start, // not known: the request goes on, and finish() must follow
    Join, // in flight: wait for its end
    Replay, // answered of late: the same answer again
    Refuse, // sent of late, and its answer is not held
    Mismatch, // the id belongs to another method, path or body
};

struct DuplicateAnswer {
    DuplicateAction action = DuplicateAction::Start;
    std::shared_ptr<const RememberedAnswer> remembered; // for Replay
};

struct DuplicateOptions {
    Common::Duration keep = std::chrono::minutes(5); // after the end of a request
    std::size_t entries = 2048; // finished requests at most
    std::size_t bytes = 1024 * 1024; // of answers held at most
    std::size_t answerBytes = 16 * 1024; // a larger answer is not held
};

// The requests that one entry has in flight or finished of late, by id. Not thread-safe.
class DuplicateTable {
public:
    explicit DuplicateTable(DuplicateOptions options = {});

    // `fingerprint` stands for method, path and body.
    DuplicateAnswer begin(const std::string& key, std::uint64_t fingerprint, Common::TimePoint now);
    // The request ended and may be asked for again: it is remembered.
    void remember(const std::string& key, RememberedAnswer, Common::TimePoint now);
    // The request ended and may be sent again.
    void forget(const std::string& key);

    std::size_t size() const { return m_entries.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct Entry {
        std::uint64_t fingerprint = 0;
        bool inFlight = true;
        Common::TimePoint until;
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
