#include "wire/frame.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::wire;

namespace {

std::span<const std::uint8_t> Bytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::string SampleFrame() {
  HeartbeatT heartbeat;
  heartbeat.host = "h1";
  heartbeat.documents_revision = 42;
  return EncodeFrame(MakeEnvelope(heartbeat));
}

ErrorCode HeaderFailure(const std::string& frame) {
  try {
    DecodeHeader(Bytes(frame).first(kFrameHeaderBytes));
  } catch (const Error& error) {
    return error.code();
  }
  FAIL("the header was accepted");
  return ErrorCode::kIo;
}

}  // namespace

TEST_CASE("A frame survives a round trip") {
  const std::string frame = SampleFrame();
  REQUIRE(DecodeHeader(Bytes(frame).first(kFrameHeaderBytes)) ==
          frame.size() - kFrameHeaderBytes);
  const EnvelopeT envelope =
      DecodeEnvelope(Bytes(frame).subspan(kFrameHeaderBytes));
  REQUIRE(envelope.body.AsHeartbeat() != nullptr);
  CHECK(envelope.body.AsHeartbeat()->host == "h1");
  CHECK(envelope.body.AsHeartbeat()->documents_revision == 42);
}

TEST_CASE("Each kind of invalid header has its own error code") {
  std::string frame = SampleFrame();
  frame[0] = 'x';
  CHECK(HeaderFailure(frame) == ErrorCode::kMalformedFrame);
  frame = SampleFrame();
  frame[3] = 99;
  CHECK(HeaderFailure(frame) == ErrorCode::kWrongVersion);
  frame = SampleFrame();
  frame[4] = 0x7F;
  CHECK(HeaderFailure(frame) == ErrorCode::kFrameTooLarge);
}

TEST_CASE("A truncated envelope is rejected, unless only padding is cut") {
  const std::string frame = SampleFrame();
  const std::size_t size = frame.size() - kFrameHeaderBytes;
  constexpr std::size_t kMaxPadding = 8;
  for (std::size_t cut_size = 0; cut_size + kMaxPadding < size; ++cut_size) {
    const std::string cut = frame.substr(kFrameHeaderBytes, cut_size);
    CHECK_THROWS_AS(DecodeEnvelope(Bytes(cut)), Error);
  }
}
