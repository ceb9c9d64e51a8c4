#include "Decisions/NewsDuty.h"

namespace Decisions {

bool shouldRead(const NewsFacts& facts, const NewsDutyOptions& options)
{
    if (facts.role == NewsRole::Leading)
        return true;
    auto isStarting = !facts.complete && facts.now - facts.started < options.startPatience;
    if (isStarting)
        return false;
    auto limit = facts.role == NewsRole::Standby ? options.standbyAge : options.followerAge;
    if (facts.age > limit)
        return true;
    if (!facts.complete)
        return true;
    // Entries that start together would all go on reading until they have found the relay.
    if (!facts.reading || facts.now - facts.started < options.startTime)
        return false;
    // Goes on until a relay has been reliable for a while: its age alone stays low while this entry reads.
    return !facts.relayed || facts.now - facts.relayedSince < options.settleTime;
}

bool shouldTakeLead(const NewsFacts& facts, const NewsDutyOptions& options)
{
    if (facts.role == NewsRole::Leading)
        return false;
    auto spread = Common::fromMilliseconds(facts.jitter * Common::toMilliseconds(options.takeoverSpread));
    if (!facts.rosterKnown) {
        auto wait = facts.seedIndex >= 0 ? facts.seedIndex * options.seedPause : options.rosterPatience + spread;
        return facts.now - facts.started >= wait;
    }
    // Whoever cannot reach the store cannot lead.
    if (facts.relayed || !facts.reading || !facts.storeAnswers)
        return false;
    auto without = facts.now - facts.relayedSince;
    if (facts.role == NewsRole::Standby)
        return without > options.standbyTakeover;
    return without > options.followerTakeover + spread;
}

}
