#pragma once

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>

#include "Entry/CallerSocket.h"
#include "Requests/Call.h"
#include "Settings/EntrySettings.h"

namespace Entry {

// A caller's connection as HTTP, with sight of what the library has read ahead.
class CallerSession : public Poco::Net::HTTPServerSession {
public:
    CallerSession(const Poco::Net::StreamSocket&, const Poco::Net::HTTPServerParams::Ptr&);

    CallerSocket& callerSocket() { return m_socket; }
    // Bytes received and not parsed yet.
    std::size_t unread() const { return static_cast<std::size_t>(buffered()); }

private:
    CallerSocket& m_socket;
};

// Head of a request into the call. Throws the library's exceptions on what is not HTTP. False after a failure has been set.
bool readHead(Poco::Net::HTTPServerRequestImpl&, CallerSession&, const Settings::CallerLimits&, Requests::Call&);

// Body of a request into the call; false after a failure has been set. Throws the library's exceptions.
bool readBody(Poco::Net::HTTPServerRequestImpl&, CallerSession&, const Settings::CallerLimits&, Requests::Call&);

}
