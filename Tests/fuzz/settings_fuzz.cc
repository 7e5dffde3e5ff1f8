// Fuzzes the settings parser: any text is parsed or rejected with
// kInvalidSettings.

#include <cstdlib>

#include "base/error.h"
#include "fuzz_target.h"
#include "settings/settings_file.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace hickoryloft;
  static const settings::SettingTable kTable = {
      {.m_key = "listen.port",
       .m_type = settings::SettingType::kInteger,
       .m_help = "Port.",
       .m_default = std::int64_t{1},
       .m_minimum = 0,
       .m_maximum = 65535},
      {.m_key = "names",
       .m_type = settings::SettingType::kStringList,
       .m_help = "Names.",
       .m_default = std::vector<std::string>{}},
  };
  try {
    settings::ParseSettings(kTable, InputText(data, size), "input");
  } catch (const Error& error) {
    if (error.code() != ErrorCode::kInvalidSettings) {
      std::abort();
    }
  }
  return 0;
}
