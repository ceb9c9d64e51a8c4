#pragma once

#include "Common/Clock.h"
#include "Controllers/RecordController.h"
#include "Requests/FilterChain.h"

namespace Requests {

struct ParseOptions {
    Common::Hooks hooks;
    Common::Duration defaultDeadline = std::chrono::seconds(10);
};

// Identifies service, rule, request id and deadline. Errors: UnknownPath, UnknownService, BadHeader.
Filter parseFilter(ParseOptions, const Controllers::RecordController&);

}
