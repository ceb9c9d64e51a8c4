#include "Decisions/NewsDuty.h"

#include <algorithm>

namespace Decisions {

namespace {

    Common::Duration scaled(Common::Duration duration, double factor)
    {
        return Common::fromMilliseconds(factor * Common::toMilliseconds(duration));
    }

}

bool shouldRead(const NewsFacts& facts, const NewsDutyOptions& options)
{
    if (facts.role == NewsRole::Leading)
        return true;
    auto isStarting = !facts.complete && facts.now - facts.started < options.startPatience;
    if (isStarting)
        return false;
    auto isMany = facts.entries >= options.manyEntries;
    auto limit = options.followerAge;
    if (facts.role == NewsRole::Standby)
        limit = options.standbyAge;
    else if (isMany && facts.deputy)
        limit = options.deputyAge;
    else if (isMany && facts.complete && facts.relayAnswers && !facts.reading)
        limit += scaled(std::min<Common::Duration>(options.outagePause * facts.entries, options.maxOutageSpread), facts.jitter);
    if (facts.age > limit)
        return true;
    if (!facts.complete)
        return true;
    // Entries that start together would all go on reading until they have found the relay.
    // The seeds go on: one of them may have to lead.
    if (!facts.reading || (facts.now - facts.started < options.startTime && facts.seedIndex < 0))
        return false;
    // Goes on until a relay has been reliable for a while: its age alone stays low while this entry reads.
    return !facts.relayed || facts.now - facts.relayedSince < options.settleTime;
}

bool shouldTakeLead(const NewsFacts& facts, const NewsDutyOptions& options)
{
    if (facts.role == NewsRole::Leading)
        return false;
    auto spread = scaled(options.takeoverSpread, facts.jitter) + (facts.largerKnown ? options.largerPause : Common::Duration::zero());
    auto isSeed = facts.seedIndex >= 0;
    if (!facts.rosterKnown) {
        auto wait = isSeed ? facts.seedIndex * options.seedPause : options.rosterPatience + spread;
        return facts.now - facts.started >= wait;
    }
    // Whoever cannot reach the store cannot lead.
    if (facts.relayed || !facts.reading || !facts.storeAnswers)
        return false;
    auto without = facts.now - facts.relayedSince;
    // A store that was away for all comes back for the relays too.
    auto patience = options.returnPatience + (facts.role == NewsRole::Standby ? Common::Duration::zero() : spread);
    if (facts.storeBackFor && *facts.storeBackFor < patience)
        return false;
    if (facts.role == NewsRole::Standby)
        return without > options.standbyTakeover;
    // Relays that answer without fresh news have lost the store, which this entry reaches: no reason to wait for them.
    if (facts.relayAnswers && facts.entries >= options.manyEntries && !facts.deputy)
        return facts.freshFor > options.lookerPatience + spread;
    if (facts.relayAnswers)
        return without > options.standbyTakeover + scaled(spread, options.shortSpread);
    // Everybody knows the seeds, so after a start of all they are found first.
    if (isSeed)
        return without > options.standbyTakeover + facts.seedIndex * options.seedPause;
    return without > options.followerTakeover + spread;
}

}
