#pragma once

#include <optional>

#include "Common/Clock.h"

namespace Decisions {

struct NewsDutyOptions {
    Common::Duration standbyAge = std::chrono::milliseconds(900); // of its knowledge, at which the standby relay reads the store itself
    Common::Duration followerAge = std::chrono::milliseconds(1300); // and every other entry
    Common::Duration settleTime = std::chrono::milliseconds(700); // fresh news from a relay for so long end reading
    Common::Duration standbyTakeover = std::chrono::milliseconds(500); // without the leading relay, until the standby leads
    Common::Duration followerTakeover = std::chrono::milliseconds(1200); // without any relay, until another entry leads
    Common::Duration takeoverSpread = std::chrono::milliseconds(1200); // so that not all try at once
    Common::Duration deputyAge = std::chrono::milliseconds(1200); // at which deputies read
    Common::Duration outagePause = std::chrono::milliseconds(50); // between entries' first looks at a store that relays cannot reach
    Common::Duration maxOutageSpread = std::chrono::seconds(10); // for all entries' first looks
    int manyEntries = 60; // from which on those looks are spread, and deputies look first: fewer are no load
    Common::Duration largerPause = std::chrono::milliseconds(1000); // in which larger entries may take the lead first
    Common::Duration lookerPatience = std::chrono::milliseconds(1500); // for deputies to lead, once another entry has found that it reaches the store
    Common::Duration returnPatience = std::chrono::milliseconds(2000); // for relays to reach a store that was away for all
    double shortSpread = 0.25; // of takeoverSpread, where it is sure that the relays cannot lead
    Common::Duration startPatience = std::chrono::milliseconds(80); // for others to give a starting entry what it lacks
    Common::Duration startTime = std::chrono::seconds(4); // after a start, in which one look at the store has to do
    Common::Duration rosterPatience = std::chrono::milliseconds(1000); // for seeds to tell who relays
    Common::Duration seedPause = std::chrono::milliseconds(150); // between the seeds' own looks at who relays
};

enum class NewsRole {
    Leading, // relay that reads the store for all
    Standby, // relay that follows the leading one
    Follower,
};

// What an entry knows when it decides where its news come from.
struct NewsFacts {
    Common::TimePoint now {};
    Common::TimePoint started {};
    NewsRole role = NewsRole::Follower;
    bool rosterKnown = false; // somebody relays
    bool complete = false; // configuration and registry are known
    Common::Duration age {}; // of what is known
    bool relayed = false; // fresh news come from a relay
    Common::TimePoint relayedSince {}; // since when they do or do not
    int seedIndex = -1; // place among the seeds; -1: none
    double jitter = 0; // uniform in [0, 1), drawn once a process
    bool reading = false; // the store, directly
    bool storeAnswers = false; // where reading
    std::optional<Common::Duration> storeBackFor {}; // since it answered this entry again; nothing: it never failed
    bool relayAnswers = false; // an entry asked for news answers, be its news old
    int entries = 1;
    bool largerKnown = false; // another entry has far more processor share
    bool deputy = false; // among the first of its failure domain to replace relays
    Common::Duration freshFor {}; // since its own reading, of late, first brought both tables
};

// Whether the entry is a deputy: one of the first two of its failure domain by processor share, `larger` of whom come before it.
// A few entries that watch the relays closely let a large fleet replace them soon without all reading the store.
inline bool isDeputy(int larger)
{
    return larger < 2;
}

// Whether to read the store directly now. Knowledge never gets older than followerAge while the store answers, unless a relay
// answers and has no newer news itself: then the store is away for the relay, and a few entries find out whether it is for all.
bool shouldRead(const NewsFacts&, const NewsDutyOptions&);

// Whether to look at the store's roster now, and to take the lead if nobody new is in it.
bool shouldTakeLead(const NewsFacts&, const NewsDutyOptions&);

}
