#pragma once

#include <array>

#include "Common/EventLog.h"
#include "Common/NameTable.h"

namespace Settings {

inline constexpr std::array logFormatNames {
    Common::EnumName<Common::LogFormat> { Common::LogFormat::Text, "text" },
    Common::EnumName<Common::LogFormat> { Common::LogFormat::Json, "json" },
    Common::EnumName<Common::LogFormat> { Common::LogFormat::Off, "off" },
};

}
