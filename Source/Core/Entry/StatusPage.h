#pragma once

#include <string>

#include "Records/ServiceRecord.h"

namespace Entry {

// The JSON body of GET /v1/status: {"revision":R,"ready":true,"services":[...],"not_understood":[...]}.
std::string statusPage(const Records::RecordSet&, bool ready);

}
