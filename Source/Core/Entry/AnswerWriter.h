#pragma once

#include <optional>
#include <string>

#include <Poco/Net/HTTPServerResponseImpl.h>

#include "Requests/Call.h"

namespace Entry {

// A page that the entry serves itself, beside the services.
struct Page {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

// A numbered error as JSON.
Page errorPage(Common::ResultCode, const std::string& text);

void sendPage(Poco::Net::HTTPServerResponseImpl&, const Page&);

// The backend server's answer, or a numbered error with a JSON body; head and body in one write where they are small.
void sendAnswer(Poco::Net::HTTPServerResponseImpl&, const Requests::Call&);

// The whole text of a refusal for a connection that is not read at all.
std::string refusalText(Common::ResultCode, int retryAfterMs);

}
