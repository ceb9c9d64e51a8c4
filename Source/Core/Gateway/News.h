#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Result.h"
#include "Gateway/Catalog.h"
#include "Gateway/Members.h"

namespace Gateway {

// Which entries relay the store's news to the others, the leading one first. One row of the store; versions decide.
struct Roster {
    std::vector<std::string> relays; // control addresses
    std::uint64_t version = 0; // of the row; 0: none is known
};

// What an entry asks a relay.
struct NewsRequest {
    Member member;
    CatalogPosition position;
    std::string listedBy; // the relay whose list of members this entry holds
    std::uint64_t membersRevision = 0; // of that list; 0: none
    Common::Duration wait {};
    Roster roster; // as the one who asks knows it
};

struct NewsAnswer {
    bool relays = false; // whether the one asked is a relay, and not too busy to answer
    Roster roster;
    CatalogUpdate update;
    MemberUpdate members;
};

// Rows as they travel: JSON, deflated where that is much shorter. The same for all who ask from one position.
struct EncodedRows {
    std::string bytes;
    bool isDeflated = false;
};

EncodedRows encodeRows(const std::vector<Platform::TableRow>&);

// JSON forms; the rows of an answer follow its JSON as bytes of their own. Errors: PeerRefused.
std::string toText(const NewsRequest&);
std::string toText(const NewsAnswer&, const EncodedRows& rows);
Common::Result<NewsRequest> parseNewsRequest(const std::string&);
Common::Result<NewsAnswer> parseNewsAnswer(const std::string& bytes);
std::string toText(const Roster&);
Common::Result<Roster> parseRoster(const std::string&, std::uint64_t version);

}
