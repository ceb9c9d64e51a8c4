#pragma once

#include "Requests/Call.h"

namespace Requests {

// The request as a backend server gets it: the caller's without the headers of its connection, with id, time left and retry depth.
Backends::BackendRequest attemptRequest(const Call&, Common::Duration timeLeft);

// Removes the headers that speak to the entry only, so that none can pass for the entry's own.
void removeOwnHeaders(std::vector<Backends::Header>&);

}
