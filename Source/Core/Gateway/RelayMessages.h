#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Result.h"
#include "Decisions/CrashSuspects.h"
#include "Decisions/FleetAllowance.h"
#include "Gateway/Catalog.h"
#include "Gateway/Members.h"

namespace Gateway {

// The gateways that relay updates of the store to the others, the leading one first. Kept in one row of the store; the list
// with the highest era and, in it, the highest row version is in force.
struct RelayList {
    std::vector<std::string> relays; // control addresses
    std::uint64_t version = 0; // of the row; 0: no list is known
    std::uint64_t era = 0; // of the store's data in which the row had that version; 0: not told
};

// Long-poll request to a relay for updates of the catalog and the member list.
struct UpdateRequest {
    Member member; // the sender
    CatalogPosition position; // of the sender's catalog
    std::string membersFrom; // the relay whose member list the sender holds; any other relay answers at once, with its full list
    std::uint64_t membersRevision = 0; // of that list; 0: none
    std::int64_t membersStartedMs = 0; // start of the relay's process when it sent the list; 0: not told
    Common::Duration wait {}; // how long the relay may hold the request open
    RelayList relayList; // as the sender knows it
    std::vector<Decisions::CrashReport> crashes; // that the sender has learned of since its last request to this relay
    std::uint64_t crashesRevision = 0; // up to which the sender knows what the relay whose member list it holds shares; 0: nothing
    std::vector<Decisions::UsageReport> usage; // of the sender and of those that report through it, changed since its last request to this relay
    std::uint64_t allowancesRevision = 0; // of the fractions that the sender has from that relay; 0: none
};

struct UpdateResponse {
    bool isRelay = false; // the responder is a relay and has the capacity to answer; if not, there is no catalog or member update
    RelayList relayList; // as the responder knows it
    CatalogUpdate catalog;
    Common::Duration held {}; // for which the responder held the request open
    MemberUpdate members;
    std::vector<Decisions::CrashReport> crashes; // that the relay shares, beyond the revision in the request
    std::uint64_t crashesRevision = 0; // of the responder's crash reports
    std::optional<std::vector<Decisions::Allowance>> allowances; // of the organisations near theirs; nullopt: the responder knows none
    std::uint64_t allowancesRevision = 0;
};

// Rows in wire form: a JSON array, deflated from 1024 bytes on. All responses from one position share it.
struct EncodedRows {
    std::string bytes;
    bool isDeflated = false;
};

EncodedRows encodeRows(const std::vector<Platform::TableRow>&);

// Wire forms: one line of JSON; in a response the bytes of the rows follow it. Errors: PeerRefused.
std::string toText(const UpdateRequest&);
std::string toText(const UpdateResponse&, const EncodedRows& rows);
Common::Result<UpdateRequest> parseUpdateRequest(const std::string&);
Common::Result<UpdateResponse> parseUpdateResponse(const std::string& bytes);
std::string toText(const RelayList&);
std::string toText(const std::vector<Decisions::CrashReport>&);
Common::Result<std::vector<Decisions::CrashReport>> parseCrashReports(const std::string&);
Common::Result<RelayList> parseRelayList(const std::string&, std::uint64_t version, std::uint64_t era);

}
