#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Common/Clock.h"

namespace Soak {

// A request without an API key, or with what is none.
inline constexpr int noKey = -1;

// What one caller saw of one request.
struct Outcome {
    std::string id;
    bool once = false; // must not run twice
    bool hasLongBody = false; // of those that must not repeat
    bool isPublic = false; // on a route that needs no API key
    int key = noKey; // number of the only API key that was sent
    int status = 0; // 0: the connection ended without an answer
    bool wrongBody = false; // a success with other bytes than the server's
    bool cutBody = false; // a success that ended, visibly, in the middle of its body; counts as no answer
    std::string oddHead = {}; // what no head of an answer may have
    bool connected = false; // the request was written
    std::string gateway;
    Common::TimePoint sent;
    Common::TimePoint ended;
};

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

struct CallersOptions {
    std::vector<std::string> gateways; // callers' addresses
    int threads = 8;
    int deadlineMs = 1000;
    Common::Duration pause = std::chrono::milliseconds(15); // between a caller's requests
    int longBodyPeriod = 16; // one request in so many has a body that gateways stream
    std::uint64_t seed = 1;
    // Chooses isPublic and key of a request that is to be sent and returns further header fields. Called on the callers' threads; empty: none.
    std::function<HeaderFields(std::mt19937_64&, Outcome&)> vary = {};
};

// Callers that keep their connections open until the process behind is gone.
class SoakCallers {
public:
    explicit SoakCallers(CallersOptions);
    ~SoakCallers();
    SoakCallers(const SoakCallers&) = delete;
    SoakCallers& operator=(const SoakCallers&) = delete;

    void stop();
    std::vector<Outcome> outcomes() const;

private:
    void run(int number);

    CallersOptions m_options;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex; // guards m_outcomes
    std::vector<Outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

// One request over a new connection; status 0 without an answer.
int statusOf(const std::string& address, const std::string& target, const HeaderFields& fields = {});

}
