#include "Gateway/CatalogSync.h"

#include <algorithm>

#include <fmt/format.h>

namespace Gateway {

namespace {

    using Decisions::RelayRole;

    // Interval of the election decisions. Updates are passed on as they come, independent of it.
    constexpr auto tickInterval = std::chrono::milliseconds(250);
    // The same until the catalog is complete.
    constexpr auto startTickInterval = std::chrono::milliseconds(40);
    // Long-poll wait asked of a relay. It grows with the number of gateways, which bounds the relay's work.
    constexpr auto baseLongPollWait = std::chrono::milliseconds(400);
    constexpr auto longPollWaitPerGateway = std::chrono::milliseconds(2);
    constexpr auto maxLongPollWait = std::chrono::milliseconds(900);
    // The standby relay, and in large fleets the preferred candidates, have to notice sooner than others that the leading relay is gone.
    constexpr auto standbyLongPollWait = std::chrono::milliseconds(200);
    // Transfer time of a response and the relay's other work, on top of the long-poll wait and the store read interval.
    constexpr auto ageMargin = std::chrono::milliseconds(400);
    // Followers rely on relays for at most this share of applyTime, the operators' bound on the time until a change is in force.
    constexpr double shareOfApplyTime = 0.8;
    // A relay counts as silent when it has sent no response for the long-poll wait plus this margin.
    constexpr auto relayTimeoutMargin = std::chrono::milliseconds(500);
    // A relay list without a serving standby relay gets a new standby once the list is this old.
    constexpr auto standbyTimeout = std::chrono::seconds(3);
    // Minimum interval between two reads of the relay list by one gateway.
    constexpr auto relayListReadInterval = std::chrono::milliseconds(1500);
    // The same for the leader that has to write the list again in a new era of the store.
    constexpr auto relayListRenewInterval = std::chrono::milliseconds(300);
    // Gateways that start together do not know each other yet: for assumedCountPeriod after the start, budgets are divided by at
    // least this number.
    constexpr int minAssumedGateways = 20;
    constexpr auto assumedCountPeriod = std::chrono::seconds(5);
    // How long a count larger than the present one is kept: gateways that restart have already spent their share of the budgets.
    constexpr auto gatewayCountHoldTime = std::chrono::seconds(30);

    // When all gateways start for the first time, no caller waits yet, and a single gateway's read of the store serves all: the
    // others wait longer for its data before they read the store, and ask for it less often.
    constexpr auto bootstrapStartDelay = std::chrono::milliseconds(2500);
    constexpr auto bootstrapRetryInterval = std::chrono::milliseconds(400);

    // Delay of crash reports to the relay: the minimum, and a random part that grows with the number of gateways.
    constexpr Common::Duration minCrashReportDelay = std::chrono::milliseconds(30);
    constexpr Common::Duration crashReportDelayPerGateway = std::chrono::milliseconds(2);

    // Minimum interval between two writes of the blocked requests to the store.
    constexpr auto crashReportsWriteInterval = std::chrono::seconds(1);

    constexpr std::size_t relaysWanted = 2;
    // Backoff between reads of an unreachable store. Relays retry often, since all other gateways depend on them.
    constexpr auto firstBackoff = std::chrono::milliseconds(200);
    constexpr auto relayBackoff = std::chrono::milliseconds(500);
    // In a fleet with more members, the leading relay hands over to a standby that has more than handoverCapacityRatio times its
    // processor share, once the relay list has been unchanged for handoverDelay.
    constexpr std::size_t maxFleetWithoutHandover = 60;
    constexpr double handoverCapacityRatio = 1.5;
    constexpr auto handoverDelay = std::chrono::milliseconds(800);

}

CatalogSync::CatalogSync(Net::EventLoop& loop, Common::EventLog& log, Catalog& catalog, Members& members, Decisions::CrashSuspects& crashSuspects, Decisions::FleetAllowance& allowances,
    Platform::AsyncTable readTable, Platform::AsyncTable relayListTable, CatalogSyncOptions options)
    : m_loop(loop)
    , m_log(log)
    , m_catalog(catalog)
    , m_members(members)
    , m_crashSuspects(crashSuspects)
    , m_allowances(allowances)
    , m_relayListTable(std::move(relayListTable))
    , m_options(std::move(options))
    , m_storeCallTimeout(readTable.callTimeout)
    , m_reader(loop, log, catalog, std::move(readTable), m_options.reader)
    , m_server(loop, catalog, members, crashSuspects, allowances,
          { .isRelay = [this] { return isRelay(); },
              .relayList = [this] { return m_relayList; },
              .onRelayList = [this](const RelayList& list) { adoptRelayList(list); },
              .capacity = members.self().capacity })
    , m_client(loop, log, catalog, members, crashSuspects, allowances,
          { .target = m_options.updateTarget,
              .relayList = [this] { return m_relayList; } })
    , m_jitter(Common::randomUnit(loop.hooks()))
{
    m_client.onRelayList([this](const RelayList& list) { adoptRelayList(list); });
    m_client.onCrashes([this] { m_server.onCrashesChanged(); });
    m_client.onAllowances([this] { m_server.onAllowancesChanged(); });
    m_catalog.setChangeHandler([this] { m_server.onCatalogChanged(); });
    // Deferred, since applyElection() may stop the reader, which is still inside its own call here.
    m_reader.onTablesRead([this] {
        if (m_freshSince == Common::TimePoint())
            m_freshSince = m_loop.now();
        m_loop.defer([this] { applyElection(); });
    });
}

void CatalogSync::start()
{
    if (m_options.bootstrap) {
        m_options.election.startReadDelay = bootstrapStartDelay;
        m_client.setRetryInterval(bootstrapRetryInterval);
    }
    m_started = m_loop.now();
    m_relayedSince = m_started;
    m_relayListChangedAt = m_started;
    updateGatewayCount();
    updateCandidates();
    m_client.start();
    tick();
}

RelayRole CatalogSync::role() const
{
    const auto& relays = m_relayList.relays;
    auto it = std::find(relays.begin(), relays.end(), m_members.self().control);
    if (it == relays.end())
        return RelayRole::Follower;
    return it == relays.begin() ? RelayRole::Leader : RelayRole::Standby;
}

bool CatalogSync::isRelay() const
{
    if (m_leaving || !m_catalog.isComplete() || !m_catalog.isReadInEra())
        return false;
    if (role() == RelayRole::Follower) {
        return (m_isPreferredCandidate || m_isReserveCandidate) && isLargeFleet() && m_freshSince != Common::TimePoint() && m_reader.storeAnswers()
            && m_catalog.age() <= m_options.election.candidateMaxAge;
    }
    // A leading relay that cannot reach the store gets its updates from the standby. Relaying them back would hide from the
    // standby that it has to take the lead.
    return role() == RelayRole::Standby || m_reader.storeAnswers();
}

bool CatalogSync::isFleetSizeKnown() const
{
    return m_members.listAge(m_loop.now()).has_value() || m_members.size() > 1;
}

Decisions::RelayElectionInputs CatalogSync::electionInputs() const
{
    auto it = std::find(m_options.seeds.begin(), m_options.seeds.end(), m_members.self().control);
    auto members = m_members.all();
    return {
        .now = m_loop.now(),
        .started = m_started,
        .role = role(),
        .relayListKnown = !m_relayList.relays.empty(),
        .complete = m_catalog.isComplete(),
        .age = m_catalog.age(),
        .relayed = m_relayed,
        .relayStatusSince = m_relayedSince,
        .seedIndex = it == m_options.seeds.end() ? -1 : static_cast<int>(it - m_options.seeds.begin()),
        .jitter = m_jitter,
        .reading = m_reader.isRunning(),
        .storeAnswers = m_reader.storeAnswers(),
        .storeRecoveredFor = m_reader.reachableSince() == Common::TimePoint()
            ? std::nullopt
            : std::optional(m_loop.now() - m_reader.reachableSince()),
        .relayAnswers = m_client.lastResponse() != Common::TimePoint() && m_loop.now() - m_client.lastResponse() < m_relayTimeout,
        .gatewayCount = m_gatewayCount,
        .fleetSizeKnown = isFleetSizeKnown(),
        .largerMemberKnown = std::any_of(members.begin(), members.end(),
            [&](const auto& member) { return member.capacity > handoverCapacityRatio * m_members.self().capacity; }),
        .preferredCandidate = m_isPreferredCandidate && isFleetSizeKnown(),
        .reserveCandidate = m_isReserveCandidate,
        .ageWhenReadingStarted = m_reader.ageAtStart(),
        .storeReadsFreshFor = m_freshSince == Common::TimePoint() ? Common::Duration::zero() : m_loop.now() - m_freshSince,
    };
}

void CatalogSync::tick()
{
    updateRelayState();
    updateGatewayCount();
    // Followers take the list of whoever answers them for current.
    if ((role() == RelayRole::Leader || isRelay()) && m_members.expire(m_loop.now()))
        m_server.onMembersChanged();
    updateCandidates();
    applyElection();
    if (m_allowanceTimer == 0 && (m_allowances.isActive() || m_allowances.isLeading()))
        updateAllowances();
    m_loop.after(m_catalog.isComplete() ? Common::Duration(tickInterval) : Common::Duration(startTickInterval), [this] { tick(); });
}

void CatalogSync::updateAllowances()
{
    m_allowanceTimer = 0;
    auto now = m_loop.now();
    // While the leading relay has lost the store, its followers turn to the standby.
    auto isLeader = isRelay() && (role() == RelayRole::Leader || (role() == RelayRole::Standby && !m_relayed));
    if (isLeader && m_allowances.isLeading())
        m_allowances.recordOwn(m_members.self().control, m_members.self().startedMs, now);
    if (m_allowances.lead(isLeader, now))
        m_server.onAllowancesChanged();
    if (m_allowances.isLeading())
        m_allowanceTimer = m_loop.after(m_allowances.leadInterval(), [this] { updateAllowances(); });
}

// The longest pause between two reads. The call before it may have been lost in an outage that ends at once; with both, data still
// get no older than followers allow.
Common::Duration CatalogSync::followerBackoff() const
{
    auto maxAge = Common::fromMilliseconds(shareOfApplyTime * Common::toMilliseconds(m_options.applyTime));
    return std::max<Common::Duration>(maxAge - m_storeCallTimeout, firstBackoff);
}

// Starts or stops reading the store and takes the lead or appoints a standby, as the election rules say.
void CatalogSync::applyElection()
{
    if (m_leaving && m_client.currentRelay().empty())
        return;
    auto inputs = electionInputs();
    // If the store does not answer although a relay does, it is probably down for all gateways, and the relays watch for its return.
    auto longestBackoff = inputs.role == RelayRole::Follower ? followerBackoff() : Common::Duration(relayBackoff);
    m_reader.setBackoff(inputs.role == RelayRole::Follower && inputs.relayAnswers ? longestBackoff : firstBackoff, longestBackoff);
    if (Decisions::shouldReadStore(inputs, m_options.election))
        m_reader.start();
    else
        stopReading();
    if (m_leaving || m_relayListCallPending)
        return;
    if (Decisions::shouldBecomeLeader(inputs, m_options.election))
        takeLead();
    else if (inputs.role == RelayRole::Leader && isRelayListOutdated()) {
        if (m_loop.now() - m_relayListReadAt > relayListRenewInterval)
            renewRelayList();
    } else if (inputs.role == RelayRole::Leader) {
        appointStandby();
        if (!m_relayListCallPending && m_reader.storeAnswers())
            storeCrashReports();
    }
}

void CatalogSync::stopReading()
{
    m_reader.stop();
    m_freshSince = {};
}

void CatalogSync::updateRelayState()
{
    auto wait = std::min<Common::Duration>(baseLongPollWait + longPollWaitPerGateway * static_cast<int>(m_members.size()), maxLongPollWait);
    updatePreferredCandidates();
    if (role() != RelayRole::Follower || (m_isPreferredCandidate && isLargeFleet()))
        wait = standbyLongPollWait;
    m_client.setWait(wait);
    auto usualAge = m_options.reader.registryInterval + wait + ageMargin;
    m_options.election.followerMaxAge = std::min<Common::Duration>(
        std::max<Common::Duration>(usualAge, m_options.minFollowerAge),
        Common::fromMilliseconds(shareOfApplyTime * Common::toMilliseconds(m_options.applyTime)));
    m_relayTimeout = wait + relayTimeoutMargin;
    auto last = m_client.lastFreshResponse();
    // An answer without recent data ends it at once, unless another relay has given them since.
    auto relayed = last != Common::TimePoint() && m_loop.now() - last < m_relayTimeout && !m_client.isLastAnswerOutdated();
    if (relayed == m_relayed)
        return;
    m_relayed = relayed;
    m_relayedSince = relayed ? m_loop.now() : last;
    m_relayListWasRead = false;
}

void CatalogSync::updatePreferredCandidates()
{
    auto members = m_members.all();
    const auto& self = m_members.self();
    std::erase_if(members, [&](const auto& member) { return member.failureDomain != self.failureDomain; });
    std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return std::pair(a.capacity, a.control) > std::pair(b.capacity, b.control); });
    m_isPreferredCandidate = m_isReserveCandidate = false;
    m_otherPreferredCandidates.clear();
    m_otherReserveCandidates.clear();
    for (int i = 0; i < static_cast<int>(members.size()); ++i) {
        auto isPreferred = Decisions::isPreferredCandidate(i);
        if (!isPreferred && !Decisions::isReserveCandidate(i))
            break;
        const auto& control = members[static_cast<std::size_t>(i)].control;
        if (control == self.control)
            (isPreferred ? m_isPreferredCandidate : m_isReserveCandidate) = true;
        else
            (isPreferred ? m_otherPreferredCandidates : m_otherReserveCandidates).push_back(control);
    }
}

void CatalogSync::updateGatewayCount()
{
    auto now = m_loop.now();
    auto seen = static_cast<int>(m_members.size());
    if (now - m_started < assumedCountPeriod)
        seen = std::max(seen, minAssumedGateways);
    if (seen >= m_gatewayCount || now - m_gatewayCountAt > gatewayCountHoldTime) {
        m_gatewayCount = seen;
        m_gatewayCountAt = now;
    }
}

void CatalogSync::updateCandidates()
{
    auto candidates = m_relayList.relays.empty() ? m_options.seeds : m_relayList.relays;
    std::erase(candidates, m_members.self().control);
    // A leading relay that reaches the store needs no updates from the standby: the standby's own requests tell it whether
    // another gateway has taken the lead.
    if (role() == RelayRole::Leader && m_reader.storeAnswers())
        candidates.clear();
    // Preferred candidates reach the store first when the relays have lost it. They don't ask each other, or neither would become
    // the leader.
    if (role() == RelayRole::Follower && !m_isPreferredCandidate && isLargeFleet()) {
        auto others = m_otherPreferredCandidates;
        if (!m_isReserveCandidate && m_catalog.age() > m_options.election.askReserveAge)
            others.insert(others.end(), m_otherReserveCandidates.begin(), m_otherReserveCandidates.end());
        for (const auto& control : others) {
            if (std::find(candidates.begin(), candidates.end(), control) == candidates.end())
                candidates.push_back(control);
        }
    }
    m_client.setCandidates(std::move(candidates));
}

void CatalogSync::adoptRelayList(RelayList list)
{
    // A gateway of a version before eras tells none.
    if (list.era == 0 && !m_catalog.hasEraChanged())
        list.era = m_relayList.era;
    if (std::pair(list.era, list.version) <= std::pair(m_relayList.era, m_relayList.version))
        return;
    auto wasRelay = role() != RelayRole::Follower;
    m_log.log(Common::EventId::RosterAdopted,
        { { "relays", fmt::format("{}", fmt::join(list.relays, " ")) },
            { "version", std::to_string(list.version) },
            { "era", std::to_string(list.era) },
            { "before", std::to_string(m_relayList.version) } });
    m_relayList = list;
    m_relayListChangedAt = m_loop.now();
    m_relayListWasRead = false;
    // The new relays get as much time to answer as those before them had.
    if (!m_relayed)
        m_relayedSince = m_loop.now();
    // Gateways whose requests are held open here have to turn to the new relay.
    if (wasRelay && role() == RelayRole::Follower)
        m_server.answerAll();
    updateCandidates();
}

void CatalogSync::takeLead()
{
    // Another gateway may have taken the lead already: the row in the store tells.
    if (!m_relayListWasRead) {
        if (m_loop.now() - m_relayListReadAt > relayListReadInterval || m_relayListReadAt == Common::TimePoint())
            readRelayList();
        return;
    }
    std::vector<std::string> relays { m_members.self().control };
    if (role() == RelayRole::Standby && !m_relayList.relays.empty())
        relays.push_back(m_relayList.relays.front());
    writeRelayList(relays, m_relayList.version);
}

void CatalogSync::readRelayList()
{
    m_relayListCallPending = true;
    m_relayListReadAt = m_loop.now();
    ++m_relayListCalls;
    m_relayListTable.readAll(m_options.relayListTable, [this](const Platform::RowsRead& read) {
        m_relayListCallPending = false;
        if (read.state != Platform::ReadState::Ok)
            return;
        auto before = std::pair(m_relayList.era, m_relayList.version);
        applyStoredCrashReports(read.rows);
        for (const auto& row : read.rows) {
            auto list = row.key == m_options.relayListKey && row.value
                ? parseRelayList(*row.value, row.version, read.era)
                : Common::Result<RelayList>(Common::Error {});
            if (list)
                adoptRelayList(list.value());
        }
        // An unchanged list names relays that do not answer, or there is none: takeLead() may now write a new one.
        m_relayListWasRead = std::pair(m_relayList.era, m_relayList.version) == before && !isRelayListOutdated();
        if (!m_relayListWasRead)
            m_relayedSince = m_loop.now();
        else if (!m_leaving && Decisions::shouldBecomeLeader(electionInputs(), m_options.election))
            takeLead();
    });
}

// After the store was restored from a copy, its relay list may be an older one. The leader writes the list in force again, so that
// the relays of the copy are not followed.
void CatalogSync::renewRelayList()
{
    m_relayListCallPending = true;
    m_relayListReadAt = m_loop.now();
    ++m_relayListCalls;
    m_relayListTable.readAll(m_options.relayListTable, [this](const Platform::RowsRead& read) {
        m_relayListCallPending = false;
        if (read.state != Platform::ReadState::Ok || read.era != m_catalog.position().era || role() != RelayRole::Leader)
            return;
        applyStoredCrashReports(read.rows);
        auto row = std::find_if(read.rows.begin(), read.rows.end(), [&](const auto& it) { return it.key == m_options.relayListKey; });
        writeRelayList(m_relayList.relays, row == read.rows.end() ? 0 : row->version);
    });
}

void CatalogSync::appointStandby()
{
    auto now = m_loop.now();
    auto members = m_members.all();
    auto isServing = [&](const std::string& control) {
        return std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.control == control && member.serving; });
    };
    auto hasStandby = m_relayList.relays.size() >= relaysWanted && isServing(m_relayList.relays[1]);
    if (hasStandby) {
        // Relaying to a large fleet takes more processor time than a small gateway has.
        auto standby = std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.control == m_relayList.relays[1]; });
        if (members.size() > maxFleetWithoutHandover
            && standby->capacity > handoverCapacityRatio * m_members.self().capacity
            && now - m_relayListChangedAt > handoverDelay)
            return writeRelayList({ standby->control, m_members.self().control }, m_relayList.version);
        return;
    }
    if (now - m_relayListChangedAt < standbyTimeout)
        return;
    const Member* best = nullptr;
    for (const auto& member : members) {
        auto isOther = member.control != m_members.self().control && member.serving;
        // Prefers a large processor share, then another failure domain, since a whole domain may fail at once, then an early start.
        auto rank = [&](const Member& it) { return std::make_tuple(it.capacity, it.failureDomain != m_members.self().failureDomain, -it.startedMs); };
        if (isOther && (!best || rank(member) > rank(*best)))
            best = &member;
    }
    if (best)
        writeRelayList({ m_members.self().control, best->control }, m_relayList.version);
}

void CatalogSync::writeRelayList(const std::vector<std::string>& relays, std::uint64_t expected)
{
    m_relayListCallPending = true;
    m_relayListChangedAt = m_loop.now();
    ++m_relayListCalls;
    Platform::ConditionalWrite write {
        .row = { .table = m_options.relayListTable, .key = m_options.relayListKey, .value = toText(RelayList { .relays = relays }), .version = 0 },
        .expected = expected,
    };
    m_relayListTable.write(write, [this, relays](const Platform::CommitResult& result) { onRelayListWritten(relays, result); });
}

void CatalogSync::onRelayListWritten(const std::vector<std::string>& relays, const Platform::CommitResult& result)
{
    m_relayListCallPending = false;
    if (result.state == Platform::CommitState::Committed) {
        auto before = m_relayList.relays;
        adoptRelayList({ .relays = relays, .version = result.version, .era = result.era });
        // Former relays may be cut off from the store, and then neither they nor their followers would learn of the new list.
        before.insert(before.end(), relays.begin(), relays.end());
        for (const auto& control : before) {
            if (control != m_members.self().control)
                m_client.sendRelayList(control);
        }
    }
    for (const auto& row : result.rows) {
        auto list = row.value ? parseRelayList(*row.value, row.version, result.era) : Common::Result<RelayList>(Common::Error {});
        if (list)
            adoptRelayList(list.value());
    }
    // A write whose response was lost may have been committed: the row has to be read again.
    m_relayListWasRead = false;
    if (result.state != Platform::CommitState::Committed)
        m_relayedSince = m_loop.now();
}

void CatalogSync::onSelfChanged()
{
    if (role() == RelayRole::Leader)
        m_server.onMembersChanged();
    else
        m_client.restart();
}

void CatalogSync::applyStoredCrashReports(const std::vector<Platform::TableRow>& rows)
{
    m_crashReportsVersion = 0;
    m_storedCrashReports.clear();
    auto row = std::find_if(rows.begin(), rows.end(), [&](const auto& it) { return it.key == m_options.crashReportsKey && it.value; });
    if (row == rows.end())
        return;
    m_crashReportsVersion = row->version;
    auto reports = parseCrashReports(*row->value);
    if (!reports)
        return m_log.log(Common::EventId::PeerMessageRefused, { { "row", row->key }, { "cause", reports.error().text } });
    m_storedCrashReports = reports.value();
    if (m_crashSuspects.merge(reports.value(), m_loop.now()))
        m_server.onCrashesChanged();
}

void CatalogSync::storeCrashReports()
{
    if (m_loop.now() - m_crashReportsWrittenAt < crashReportsWriteInterval)
        return;
    auto reports = m_crashSuspects.blockedReports();
    if (reports == m_storedCrashReports)
        return;
    m_relayListCallPending = true;
    m_crashReportsWrittenAt = m_loop.now();
    ++m_relayListCalls;
    Platform::ConditionalWrite write {
        .row = { .table = m_options.relayListTable, .key = m_options.crashReportsKey, .value = toText(reports), .version = 0 },
        .expected = m_crashReportsVersion,
    };
    m_relayListTable.write(write, [this, reports](const Platform::CommitResult& result) {
        m_relayListCallPending = false;
        if (result.state == Platform::CommitState::Committed) {
            m_storedCrashReports = reports;
            m_crashReportsVersion = result.version;
        }
        if (result.state == Platform::CommitState::ConditionFailed)
            applyStoredCrashReports(result.rows);
    });
}

void CatalogSync::onCrashRecorded()
{
    m_server.onCrashesChanged();
    if (m_crashReportTimer != 0)
        return;
    // When many servers end at once, all gateways have something to report, of which most is settled by the next answer.
    auto delay = minCrashReportDelay + Common::fromMilliseconds(m_jitter * Common::toMilliseconds(crashReportDelayPerGateway) * static_cast<double>(m_members.size()));
    m_crashReportTimer = m_loop.after(delay, [this] {
        m_crashReportTimer = 0;
        if (role() != RelayRole::Leader && m_client.hasCrashReports())
            m_client.restart();
    });
}

void CatalogSync::leave()
{
    if (m_leaving)
        return;
    auto before = role();
    auto relays = m_relayList.relays;
    m_leaving = true;
    std::erase(relays, m_members.self().control);
    if (before == RelayRole::Leader && !relays.empty() && !m_relayListCallPending && !isRelayListOutdated())
        writeRelayList(relays, m_relayList.version);
    m_server.answerAll();
    onSelfChanged();
}

}
