#pragma once

#include <string>

namespace Common {

// Contents of docs/RESULT-CODES.md and docs/EVENTS.md as Markdown, generated from the result and event tables.
std::string resultCodesPage();
std::string eventsPage();

}
