// Fuzzes the decoders of store entries, engine reports and host settings: any
// bytes are decoded or rejected with the expected error code.

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_reader.h"
#include "fuzz_target.h"
#include "platform/engine_control.h"
#include "platform/fleet_decoder.h"
#include "platform/settings.h"
#include "platform/store_watch.h"

namespace {

using namespace hickoryloft;

template <typename Decode>
void ExpectOnlyErrorCode(ErrorCode code, const Decode& decode) {
  try {
    decode();
  } catch (const Error& error) {
    if (error.code() != code) {
      std::abort();
    }
  }
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text = InputText(data, size);
  const jarro::FleetDecoder decoder;
  ExpectOnlyErrorCode(ErrorCode::kProtocol,
                      [&] { decoder.DecodeConfiguration(text); });
  ExpectOnlyErrorCode(ErrorCode::kProtocol, [&] {
    decoder.DecodeEndpoint(
        {.m_key = "servers/i-1", .m_value = text, .m_mod_revision = 1});
  });
  ExpectOnlyErrorCode(ErrorCode::kProtocol,
                      [&] { jarro::ParseEngineReport(text); });
  ExpectOnlyErrorCode(ErrorCode::kProtocol, [&] {
    const nlohmann::json json = ParseJson(text, "input", ErrorCode::kProtocol);
    jarro::ParseItem(JsonReader(json, "input", ErrorCode::kProtocol), 1);
  });
  ExpectOnlyErrorCode(ErrorCode::kInvalidSettings,
                      [&] { jarro::ParseHostSettings(text); });
  return 0;
}
