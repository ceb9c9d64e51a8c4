#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/NameTable.h"
#include "Soak/OrganisationHistory.h"
#include "Soak/SoakCallers.h"
#include "platform/StandIn/Server.h"

namespace Soak {

// The bounds that the gateways get as settings, and those that the requirements name.
namespace Bounds {
    using std::chrono::milliseconds;
    inline constexpr milliseconds revoke { 3000 };
    inline constexpr milliseconds apply { 2000 };
    inline constexpr milliseconds allowanceWindow { 5000 };
    inline constexpr double allowanceOverage = 0.1;
    inline constexpr double allowanceSlack = 20;
    inline constexpr milliseconds evacuate { 5000 };
    inline constexpr milliseconds warmupWindow { 1000 };
    inline constexpr double warmupPerSecond = 8;
    inline constexpr double warmupOverage = 1.5;
    inline constexpr double warmupSlack = 8;
}

enum class Promise {
    KeyStaysHidden,
    OrganisationIsNamed,
    KeyIsKnown,
    RevokedKeyEnds,
    AllowanceHolds,
    EvacuatedGetsNothing,
    ColdIsSpared,
    RejectionIsCertain,
    OnlyLimitedAreLimited,
};

inline constexpr std::array promiseNames {
    Common::EnumName<Promise> { Promise::KeyStaysHidden, "an API key arrived at a server" },
    Common::EnumName<Promise> { Promise::OrganisationIsNamed, "a server was told another organisation than the key's" },
    Common::EnumName<Promise> { Promise::KeyIsKnown, "a request without a known API key arrived at a server" },
    Common::EnumName<Promise> { Promise::RevokedKeyEnds, "a request with a revoked API key arrived at a server" },
    Common::EnumName<Promise> { Promise::AllowanceHolds, "an organisation ran more requests in a window than allowed" },
    Common::EnumName<Promise> { Promise::EvacuatedGetsNothing, "a server of an evacuated failure domain got something" },
    Common::EnumName<Promise> { Promise::ColdIsSpared, "a cold server got more requests in a second than allowed" },
    Common::EnumName<Promise> { Promise::RejectionIsCertain, "401 for an API key that was in force, or on a public route" },
    Common::EnumName<Promise> { Promise::OnlyLimitedAreLimited, "429 without a limit that could be reached" },
};

// What a server saw.
struct Sighting {
    Common::TimePoint at;
    std::size_t server = 0;
    PlatformStandIn::ServerEvent event = PlatformStandIn::ServerEvent::Arrival;
    std::string id = {}; // of the request; empty for load probes
    int key = noKey;
    bool isPublic = false;
    bool containsKey = false;
    std::vector<std::string> organisations = {};
};

Sighting sightingOf(std::size_t server, PlatformStandIn::ServerEvent, const Net::Request&);

struct Evidence {
    std::vector<std::string> domains = {}; // by server
    std::map<std::string, std::vector<Period>> evacuations = {}; // by failure domain
    std::vector<std::vector<Interval>> cold = {}; // by server
    // By callers' address: while the gateway was frozen, or no gateway that ran reached the store. An evacuation can't be known then.
    std::map<std::string, std::vector<Interval>> blind = {};
    std::vector<Sighting> sightings = {}; // by ascending time
    std::vector<Outcome> outcomes = {};
};

struct Finding {
    Promise promise;
    int count = 0;
    Common::TimePoint at; // of the first
    std::string first;
};

// How often the promises could have been broken.
struct Coverage {
    int rejected = 0; // 401
    int limited = 0; // 429
    int sentTooLate = 0; // with an API key whose revocation was in force
    int evacuations = 0; // that outlasted their time limit
    int coldArrivals = 0;
    int fullWindows = 0; // in which an organisation ran at least half of what is allowed
};

// Judges what servers and callers saw.
std::vector<Finding> findBroken(const OrganisationHistory&, const Evidence&, Coverage&);

}
