#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Records/ServiceRecord.h"

namespace Records {

// A record file: one form of a record.
struct RecordFile {
    std::string name;
    std::string text;
};

// The form an entry works with.
struct FormChoice {
    std::optional<ServiceRecord> record; // the newest form understood; nothing when there is none, or it has errors
    bool understood = false; // a form of a known schema exists
    std::vector<Common::FileError> errors;
};

// Chooses among the forms stored under one revision; forms of schemas above `newestUnderstood` are passed over unread.
FormChoice chooseForm(const std::vector<std::string>& forms, const std::string& service, int newestUnderstood = newestSchema);

// Checks files that are to be stored as the forms of one record: each valid, one service, no schema twice.
// Returns the service's name; every mistake is added to `errors` and then nothing is returned.
std::optional<std::string> checkForms(const std::vector<RecordFile>&, std::vector<Common::FileError>& errors);

}
