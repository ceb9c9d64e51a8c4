#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"

namespace Platform {

// One row of a named table, or its end.
struct TableRow {
    std::string table;
    std::string key;
    std::optional<std::string> value; // nothing: the row was deleted
    std::uint64_t version = 0; // of the transaction that wrote it
};

enum class ReadState {
    Ok,
    HistoryGone, // the table has to be read whole
    Unavailable, // refused, slow, lost or not understood
};

struct RowsRead {
    ReadState state = ReadState::Unavailable;
    std::vector<TableRow> rows;
    std::uint64_t version = 0; // of the store at the moment of the read: later changes have greater ones
    std::string error; // where Unavailable
};

enum class CommitState {
    Committed,
    ConditionFailed, // `rows` holds what was found
    Unknown, // may have been done, or may be done yet
};

struct CommitResult {
    CommitState state = CommitState::Unknown;
    std::vector<TableRow> rows;
    std::uint64_t version = 0; // where Committed: of the rows written
    std::string error;
};

// Writes `row` if the row has version `expected` (0: it does not exist).
struct ConditionalWrite {
    TableRow row;
    std::uint64_t expected = 0;
};

// The platform's store without blocking: each call ends with exactly one call of its function, in the caller's loop, unless
// cancel() came first.
struct AsyncTable {
    std::function<void(const std::string& table, std::function<void(RowsRead)>)> readAll;
    // Changes after `version`; waits up to `wait` for the first one.
    std::function<void(const std::string& table, std::uint64_t version, Common::Duration wait, std::function<void(RowsRead)>)> readChanges;
    std::function<void(const ConditionalWrite&, std::function<void(CommitResult)>)> write;
    // Drops all calls under way.
    std::function<void()> cancel;
};

}
