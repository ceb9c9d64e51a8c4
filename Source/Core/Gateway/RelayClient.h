#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/EventLog.h"
#include "Gateway/Catalog.h"
#include "Gateway/Members.h"
#include "Gateway/News.h"
#include "Net/HttpClient.h"

namespace Gateway {

struct RelayClientOptions {
    std::string target; // path of the request
    std::function<Roster()> roster; // as this entry knows it
    Common::Duration answerSlack = std::chrono::milliseconds(300); // beside the wait asked for
    Common::Duration slackPerEntry = std::chrono::milliseconds(2); // a relay that many turn to at once answers them in turn
    Common::Duration retryPause = std::chrono::milliseconds(150); // between attempts at relays that fail or are behind
    Common::Duration avoidTime = std::chrono::seconds(1); // for which a relay that failed is only asked when no other is left
    Common::Duration staleAge = std::chrono::milliseconds(1000); // a relay whose news are older is like one that failed
};

// Follows one relay after the other: keeps one request for news open and applies what comes.
class RelayClient {
public:
    RelayClient(Net::EventLoop&, Common::EventLog&, Catalog&, Members&, RelayClientOptions);

    // Relays to follow, best first; without any, nothing is asked.
    void setCandidates(std::vector<std::string>);
    // How long a relay may wait for news.
    void setWait(Common::Duration wait) { m_wait = wait; }
    // Between attempts while no relay has fresh news.
    void setRetryPause(Common::Duration pause) { m_options.retryPause = pause; }
    // Called with the roster of every answer.
    void onRoster(std::function<void(const Roster&)> hook) { m_rosterHook = std::move(hook); }
    void start();
    void stop();
    // Tells the roster to an entry that is not followed, once.
    void tellRoster(const std::string& control);
    // Asks again at once, so that the relay learns of a change of this entry.
    void renew();

    // The last answer of a relay with fresh news.
    Common::TimePoint lastFreshAnswer() const { return m_lastFresh; }
    // The last answer of an entry asked, be it no relay or without fresh news.
    Common::TimePoint lastAnswer() const { return m_lastAnswer; }
    // The relay that answered last; empty before the first.
    const std::string& following() const { return m_following; }

private:
    struct Trial {
        Common::TimePoint avoidUntil;
    };

    void ask();
    void askLater(Common::Duration);
    Common::Duration retryPause() const { return m_options.retryPause + m_options.slackPerEntry * static_cast<int>(m_members.size()); }
    Common::Duration answerSlack() const { return m_options.answerSlack + m_options.slackPerEntry * static_cast<int>(m_members.size()); }
    Net::Request newsRequest(const std::string& relay, Common::Duration wait) const;
    bool isAvoided(const std::string& relay) const;
    // No relay is left that has not failed or been behind of late.
    bool allAvoided() const;
    std::string choose() const;
    void onAnswer(const std::string& relay, Net::ResponseHead&&);
    void onFailure(const std::string& relay, std::string_view cause);

    Net::EventLoop& m_loop;
    Common::EventLog& m_log;
    Catalog& m_catalog;
    Members& m_members;
    RelayClientOptions m_options;
    std::vector<std::string> m_candidates;
    std::map<std::string, Trial> m_trials;
    std::function<void(const Roster&)> m_rosterHook;
    std::shared_ptr<Net::ClientConnection> m_connection;
    std::string m_connectedTo;
    std::map<std::string, std::shared_ptr<Net::ClientConnection>> m_told; // connections of tellRoster()
    std::string m_following;
    std::string m_listedBy;
    std::uint64_t m_membersRevision = 0;
    Common::Duration m_wait = std::chrono::milliseconds(400);
    Common::TimePoint m_lastFresh;
    Common::TimePoint m_lastAnswer;
    Net::EventLoop::TimerId m_timer = 0;
    bool m_running = false;
    bool m_isAsking = false;
};

}
