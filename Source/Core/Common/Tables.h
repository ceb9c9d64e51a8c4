#pragma once

#include <string>

namespace Common {

// The tables of docs/RESULT-CODES.md and docs/EVENTS.md as Markdown, made from the code's own tables.
std::string resultCodesPage();
std::string eventsPage();

}
