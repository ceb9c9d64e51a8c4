#pragma once

namespace Decisions {

// What may still be done with a request, given how much of its body has been forwarded. A short body is held whole and can be sent again at any
// time. A long one is streamed: its start is held until a server has got more than that.
class BodyForwarding {
public:
    // `isWhole`: all of the body is held. False: it is streamed.
    explicit BodyForwarding(bool isWhole)
        : m_isWhole(isWhole)
    {
    }

    // Bytes behind the held start have gone to a server or another gateway. They are not kept.
    void onPartForwarded() { m_isStartOnly = false; }

    bool isWhole() const { return m_isWhole; }
    // Whether another server or gateway can get the same bytes.
    bool maySendAgain() const { return m_isWhole || m_isStartOnly; }
    // Whether two servers can get it at once.
    bool mayHedge() const { return m_isWhole; }
    // Whether the response time measures the server. That of a streamed request includes the time that the caller takes to send it.
    bool isResponseTimed() const { return m_isWhole; }

private:
    bool m_isWhole;
    bool m_isStartOnly = true;
};

}
