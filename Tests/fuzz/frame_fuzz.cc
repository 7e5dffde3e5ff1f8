// Fuzzes the decoder of internal frames: any bytes are decoded or rejected with
// a typed error, and a decoded envelope can be encoded again.

#include <span>

#include "base/error.h"
#include "fuzz_target.h"
#include "wire/frame.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace hickoryloft;
  const std::span<const std::uint8_t> bytes(data, size);
  if (size < wire::kFrameHeaderBytes) {
    return 0;
  }
  try {
    wire::DecodeHeader(bytes.first(wire::kFrameHeaderBytes));
    wire::EncodeFrame(
        wire::DecodeEnvelope(bytes.subspan(wire::kFrameHeaderBytes)));
  } catch (const Error&) {
    return 0;
  }
  return 0;
}
