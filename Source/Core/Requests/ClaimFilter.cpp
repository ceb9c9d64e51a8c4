#include "Requests/ClaimFilter.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "Decisions/Claim.h"

namespace Requests {

namespace {

    using Common::ResultCode;
    using Decisions::Claim;
    using Decisions::ClaimStepKind;
    using Decisions::ClaimVerdict;
    using Decisions::ClaimWriteResult;

    // Carries a claim's steps out at the store.
    class ClaimRun {
    public:
        ClaimRun(const ClaimOptions& options, const Platform::Table& table, const Call& call)
            : m_options(options)
            , m_table(table)
            , m_key("claims/" + call.service + '/' + call.id)
            , m_claim(fmt::format("{:016x}{:016x}", options.hooks.random(), options.hooks.random()))
        {
        }

        void acquire(Common::TimePoint deadline)
        {
            auto now = m_options.hooks.now();
            // A part of the time is kept for taking back a claim that may stand.
            auto reserve = std::min<Common::Duration>(m_options.settleLimit, (deadline - now) / 2);
            auto until = std::min(now + m_options.acquireLimit, deadline - reserve);
            run(until);
            if (m_claim.verdict() != ClaimVerdict::Pending)
                return;
            m_claim.release();
            run(std::min(until + reserve, deadline));
        }

        // Whether a resend will find the id free.
        bool release(Common::TimePoint deadline)
        {
            auto now = m_options.hooks.now();
            m_claim.release();
            run(std::max(std::min(now + m_options.settleLimit, deadline), now + m_options.releaseGrace));
            return m_claim.verdict() == ClaimVerdict::NotHeld;
        }

        ClaimVerdict verdict() const { return m_claim.verdict(); }

    private:
        void run(Common::TimePoint until)
        {
            for (auto step = m_claim.next(); step.kind != ClaimStepKind::Done && m_options.hooks.now() < until; step = m_claim.next()) {
                auto reached = step.kind == ClaimStepKind::Read ? read() : write(step);
                if (!reached && m_claim.verdict() == ClaimVerdict::Pending)
                    pause();
            }
        }

        bool read()
        {
            auto row = m_table.get(m_key);
            if (row)
                m_claim.onRow({ .value = row.value().value, .version = row.value().version });
            else
                m_claim.onReadFailed();
            return row.has_value();
        }

        bool write(const Decisions::ClaimStep& step)
        {
            auto answer = m_table.commit({ .conditions = { { m_key, step.version } }, .writes = { { m_key, step.value } } });
            if (!answer)
                m_claim.onWrite(ClaimWriteResult::Lost);
            else
                m_claim.onWrite(answer.value().committed ? ClaimWriteResult::Committed : ClaimWriteResult::Conflict);
            return answer.has_value();
        }

        void pause() const
        {
            if (m_options.sleep)
                m_options.sleep(m_options.pause);
            else
                std::this_thread::sleep_for(m_options.pause);
        }

        const ClaimOptions& m_options;
        const Platform::Table& m_table;
        std::string m_key;
        Claim m_claim;
    };

    void refuse(Call& call, ResultCode code)
    {
        fail(call, code, std::string(Common::resultRow(code).meaning));
    }

    // Ends a call whose claim was not got.
    void endWithoutClaim(Call& call, ClaimVerdict verdict, CallStats& stats)
    {
        if (verdict == ClaimVerdict::Taken) {
            ++stats.claimsRefused;
            return refuse(call, ResultCode::DuplicateClaimed);
        }
        if (verdict == ClaimVerdict::Pending) {
            ++stats.claimsUnsettled;
            return refuse(call, ResultCode::ClaimUnsettled);
        }
        refuse(call, ResultCode::StoreUnavailable);
    }

}

Filter claimFilter(ClaimOptions options, Platform::Table table, CallStats& stats, Common::EventLog& log)
{
    return [options = std::move(options), table = std::move(table), &stats, &log](Call& call, const Next& next) {
        if (call.rule.claim != Records::Claim::Table)
            return next(call);
        // Without the caller's own id a resend could not be told from a new request.
        if (!call.idGiven)
            return fail(call, ResultCode::BadHeader, "Idempotency-Key: needed, the rule for this path claims requests in the table");
        ClaimRun claim(options, table, call);
        claim.acquire(call.deadline);
        if (claim.verdict() != ClaimVerdict::Held)
            return endWithoutClaim(call, claim.verdict(), stats);
        ++stats.claims;
        log.trace(Common::EventId::CallClaimed, { { "request", call.id }, { "service", call.service } });
        next(call);
        if (call.outcome == Common::Outcome::NotRun && !claim.release(call.deadline)) {
            ++stats.claimsUnsettled;
            refuse(call, ResultCode::ClaimUnsettled);
        }
    };
}

}
