#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <json/value.h>

#include "Common/Result.h"
#include "Peers/PeerClient.h"

namespace Operator {

// How a command finds the entries: by the platform's list, by one entry that knows the others, or both.
struct PeerFinderOptions {
    std::string platformAddress {}; // empty: not asked
    std::string peerAddress {}; // empty: not asked
    std::string keyFile {}; // holds the key that the entries share
};

// All entries that could be found, and what each answered.
struct PeerAnswers {
    std::map<std::string, Json::Value> answered {}; // by peer address
    std::map<std::string, std::string> failed {}; // by peer address: why
};

// Asks entries as an operator.
class PeerFinder {
public:
    // Errors: SettingsInvalid (the key file), PeerUnreachable or StoreUnavailable (no entry could be found).
    static Common::Result<PeerFinder> find(const PeerFinderOptions&);

    const std::vector<std::string>& peers() const { return m_peers; }
    // Calls every entry, several at a time.
    PeerAnswers ask(const std::string& method, const Json::Value& parameters) const;
    // Runs `call` for every entry, several at a time; a failure is what it returns as error.
    PeerAnswers each(const std::function<Common::Result<Json::Value>(const Peers::PeerClient&, const std::string& peer)>& call) const;

private:
    PeerFinder(std::shared_ptr<Peers::PeerClient>, std::vector<std::string> peers);

    std::shared_ptr<Peers::PeerClient> m_client;
    std::vector<std::string> m_peers;
};

}
