#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Result.h"
#include "Platform/Platform.h"
#include "Records/RecordChange.h"

namespace Records {

// The layout of records in the platform's table:
//   records/head                      {"revision": N}, written by every change
//   records/services/<service>        the latest change of the service; a retired one stays as tombstone
//   records/changes/<20 digits>       every change by its revision, the latest keptChanges of them
// Errors of all functions: StoreUnavailable (no usable answer), StoreProtocol (a row that is not of this layout).

inline constexpr std::uint64_t keptChanges = 2048;
inline constexpr auto headKey = "records/head";

std::string recordKey(const std::string& service);
std::string changeKey(std::uint64_t revision);

struct Head {
    std::uint64_t revision = 0; // 0: no change yet
    std::uint64_t rowVersion = 0;
};

struct RecordRow {
    std::optional<RecordChange> change;
    std::uint64_t rowVersion = 0;
};

Common::Result<Head> readHead(const Platform::Table&);
Common::Result<RecordRow> readRecord(const Platform::Table&, const std::string& service);
Common::Result<std::optional<RecordChange>> readChange(const Platform::Table&, std::uint64_t revision);

// Changes after `since` up to the head, ascending; nothing when the log does not reach back that far or has a gap.
Common::Result<std::optional<std::vector<RecordChange>>> readChanges(const Platform::Table&, std::uint64_t since);

// All changes still kept, ascending.
Common::Result<std::vector<RecordChange>> readHistory(const Platform::Table&);

// All records, tombstones included. The head is read before the rows, so that no row is older than at that revision.
Common::Result<RecordImage> readImage(const Platform::Table&);

// The one transaction of a change: it takes effect only while the head and the record's row are as read.
Platform::Transaction changeTransaction(const Head&, const RecordRow&, const RecordChange&);

}
