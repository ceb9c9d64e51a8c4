#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/NameTable.h"

namespace Records {

// What an operator did to a record.
enum class ChangeKind {
    Put,
    Replace,
    Retire,
};

inline constexpr std::array changeKindNames {
    Common::EnumName<ChangeKind> { ChangeKind::Put, "put" },
    Common::EnumName<ChangeKind> { ChangeKind::Replace, "replace" },
    Common::EnumName<ChangeKind> { ChangeKind::Retire, "retire" },
};

// One accepted change. The row of a record holds the latest change of its service, so that a retired record leaves its
// last change behind as a tombstone.
struct RecordChange {
    std::uint64_t revision = 0;
    std::uint64_t previous = 0; // the revision of the service's record before; 0: there was none
    ChangeKind kind = ChangeKind::Put;
    std::string service;
    std::string by; // the operator's name
    std::string nonce; // of the writer: tells its own change from another one of the same revision
    std::int64_t wallMs = 0; // the writer's clock, for display only
    std::vector<std::string> forms; // TOML texts, one a schema; empty when retired

    bool retired() const { return kind == ChangeKind::Retire; }
    bool operator==(const RecordChange&) const = default;
};

// Every service's latest change as of a revision. A row may be newer than `revision`, never older than its state there.
struct RecordImage {
    std::uint64_t revision = 0;
    std::vector<RecordChange> records;
    std::vector<std::string> unreadable; // keys of rows that could not be decoded
};

// What one holder of records tells another: either every change after `since`, or an image when it no longer has them.
struct RecordUpdate {
    std::uint64_t since = 0;
    std::vector<RecordChange> changes; // ascending by revision without gaps, from since + 1
    std::optional<RecordImage> image;

    bool empty() const { return changes.empty() && !image; }
};

// JSON texts, as stored in rows and objects and sent between entries. Decoding gives nothing for a malformed text.
std::string encodeChange(const RecordChange&);
std::optional<RecordChange> decodeChange(const std::string&);
std::string encodeImage(const RecordImage&);
std::optional<RecordImage> decodeImage(const std::string&);
std::string encodeUpdate(const RecordUpdate&);
std::optional<RecordUpdate> decodeUpdate(const std::string&);

}
