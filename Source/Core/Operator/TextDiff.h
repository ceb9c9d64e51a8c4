#pragma once

#include <string>

namespace Operator {

// The lines that differ between two texts, "-" before what is left out and "+" before what is added, with unchanged lines
// after two spaces; empty when the texts are the same.
std::string textDiff(const std::string& before, const std::string& after);

}
