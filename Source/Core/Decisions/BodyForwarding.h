#pragma once

namespace Decisions {

// What may still be done with a request, given how much of its body has been handed on. The start of a long body is held until more
// of it has gone to a server; a body that is held whole can be sent again at any time.
class BodyForwarding {
public:
    // `isWhole`: all of the body is held. False: it is handed on while it arrives.
    explicit BodyForwarding(bool isWhole)
        : m_isWhole(isWhole)
    {
    }

    // Bytes behind the held start have gone to a server or another gateway. They are not kept.
    void onHandedOn() { m_isStartOnly = false; }

    bool isWhole() const { return m_isWhole; }
    // Whether another server or gateway can get the same bytes.
    bool maySendAgain() const { return m_isWhole || m_isStartOnly; }
    // Whether two servers can get it at once.
    bool mayHedge() const { return m_isWhole; }
    // Whether the response time tells of the server: else it includes that of the caller's sending.
    bool isResponseTimed() const { return m_isWhole; }

private:
    bool m_isWhole;
    bool m_isStartOnly = true;
};

}
