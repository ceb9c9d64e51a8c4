#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"

namespace Platform {

// A row of a named table, or its deletion.
struct TableRow {
    std::string table;
    std::string key;
    std::optional<std::string> value; // empty: the row was deleted
    std::uint64_t version = 0; // version of the transaction that wrote it
};

enum class ReadState {
    Ok,
    HistoryExpired, // the changes since that version are no longer available: read the whole table
    Unavailable, // refused, timed out, connection lost or response not understood
};

struct RowsRead {
    ReadState state = ReadState::Unavailable;
    std::vector<TableRow> rows;
    std::uint64_t version = 0; // version of the store at the time of the read; later changes have greater ones
    std::uint64_t era = 0; // of the store's data: versions of different eras can't be compared; 0: not told
    std::string error; // set if Unavailable
};

enum class CommitState {
    Committed,
    ConditionFailed, // nothing was written; `rows` holds the current rows
    Unknown, // the write may have taken effect, or may still do so
};

struct CommitResult {
    CommitState state = CommitState::Unknown;
    std::vector<TableRow> rows;
    std::uint64_t version = 0; // if Committed: version of the rows written
    std::uint64_t era = 0; // as in RowsRead
    std::string error;
};

// Writes `row` if the stored row has version `expected` (0: it does not exist).
struct ConditionalWrite {
    TableRow row;
    std::uint64_t expected = 0;
};

struct StoreOptions {
    std::string address; // ip:port
    // Of a response with the operators' table, which holds the configuration; a longer one fails the call.
    std::size_t maxConfigurationBytes = std::size_t { 32 } * 1024 * 1024;
};

// Non-blocking access to the platform's store. Each call invokes its callback exactly once, on the caller's event loop, unless
// cancel() comes first.
struct AsyncTable {
    std::function<void(const std::string& table, std::function<void(RowsRead)>)> readAll;
    // Reads the changes after `version`. If there are none yet, waits up to `wait` for the first one.
    std::function<void(const std::string& table, std::uint64_t version, Common::Duration wait, std::function<void(RowsRead)>)> readChanges;
    std::function<void(const ConditionalWrite&, std::function<void(CommitResult)>)> write;
    // Drops all pending calls; their callbacks are not invoked.
    std::function<void()> cancel;
    // After which a call without an answer fails, not counting the wait of readChanges().
    Common::Duration callTimeout = std::chrono::milliseconds(1200);
};

}
