#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Operator/EntryStatus.h"
#include "Platform/Platform.h"
#include "Records/RecordForms.h"
#include "Records/RecordWrite.h"

namespace Operator {

// Where the record commands read, write and print.
struct RecordContext {
    Platform::Services platform;
    Records::RecordWriteOptions write; // its limit, back-off and sleep also hold for reads
    std::function<Common::Result<EntryStatus>(const std::string& address)> entryStatus = askEntryStatus;
    std::function<void(const std::string&)> out; // lines for standard output
    std::function<void(const std::string&)> err; // lines for standard error
    std::string by; // the operator's name
    bool json = false;
};

// All return the exit code; messages that explain a failure go to err.

// Creates a record from one file a form.
int putRecord(const RecordContext&, const std::vector<Records::RecordFile>&);
// Replaces the record of revision `expect`; a dry run only shows the difference.
int replaceRecord(const RecordContext&, const std::vector<Records::RecordFile>&, std::uint64_t expect, bool dryRun);
int retireRecord(const RecordContext&, const std::string& service, std::uint64_t expect);

int getRecord(const RecordContext&, const std::string& service);
int listRecords(const RecordContext&);
// The changes still kept, of one service or of all (empty).
int recordHistory(const RecordContext&, const std::string& service);

// Returns when every live entry has the revision in force, or after the timeout with the names of those that have not.
int waitForRevision(const RecordContext&, std::uint64_t revision, Common::Duration timeout);

}
