#include "wire/frame.h"

#include <array>

namespace hickoryloft::wire {

namespace {

void PutBigEndian(std::uint64_t value, std::size_t bytes, std::uint8_t* out) {
  for (std::size_t i = 0; i < bytes; ++i) {
    out[i] = static_cast<std::uint8_t>(value >> (8 * (bytes - 1 - i)));
  }
}

std::uint64_t GetBigEndian(std::span<const std::uint8_t> in) {
  std::uint64_t value = 0;
  for (const std::uint8_t byte : in) {
    value = (value << 8U) | byte;
  }
  return value;
}

constexpr std::size_t kMagicBytes = 2;
constexpr std::size_t kVersionBytes = 2;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kLengthOffset = kMagicBytes + kVersionBytes;

}  // namespace

std::string EncodeFrame(const EnvelopeT& envelope) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Envelope::Pack(builder, &envelope));
  if (builder.GetSize() > kMaxFrameBytes) {
    throw Error(ErrorCode::kFrameTooLarge,
                "a message of " + std::to_string(builder.GetSize()) +
                    " bytes does not fit");
  }
  std::array<std::uint8_t, kFrameHeaderBytes> header{};
  PutBigEndian(kFrameMagic, kMagicBytes, header.data());
  PutBigEndian(kProtocolVersion, kVersionBytes, header.data() + kMagicBytes);
  PutBigEndian(builder.GetSize(), kLengthBytes, header.data() + kLengthOffset);
  std::string frame(header.begin(), header.end());
  frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize());
  return frame;
}

std::size_t DecodeHeader(std::span<const std::uint8_t> header) {
  if (GetBigEndian(header.first(kMagicBytes)) != kFrameMagic) {
    throw Error(ErrorCode::kMalformedFrame,
                "the peer does not speak the inner protocol");
  }
  const std::uint64_t version =
      GetBigEndian(header.subspan(kMagicBytes, kVersionBytes));
  if (version != kProtocolVersion) {
    throw Error(ErrorCode::kWrongVersion,
                "the peer speaks version " + std::to_string(version) +
                    " of the inner protocol; this process speaks " +
                    std::to_string(kProtocolVersion));
  }
  const std::uint64_t length =
      GetBigEndian(header.subspan(kLengthOffset, kLengthBytes));
  if (length > kMaxFrameBytes) {
    throw Error(ErrorCode::kFrameTooLarge, "a frame of " +
                                               std::to_string(length) +
                                               " bytes passes the limit of " +
                                               std::to_string(kMaxFrameBytes));
  }
  return length;
}

EnvelopeT DecodeEnvelope(std::span<const std::uint8_t> bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!VerifyEnvelopeBuffer(verifier)) {
    throw Error(ErrorCode::kMalformedFrame,
                "the frame does not hold a valid message");
  }
  EnvelopeT envelope;
  GetEnvelope(bytes.data())->UnPackTo(&envelope);
  // The verifier accepts a body that has a type but no table.
  if (envelope.body.value == nullptr) {
    throw Error(ErrorCode::kMalformedFrame, "the envelope has no body");
  }
  return envelope;
}

RequestFailedT ToRequestFailed(const Error& error,
                               std::uint32_t retry_after_ms) {
  RequestFailedT failed;
  failed.code = static_cast<std::uint8_t>(error.code());
  failed.detail = error.what();
  failed.retry_after_ms = retry_after_ms;
  return failed;
}

Error ToError(const RequestFailedT& failed) {
  const bool known = failed.code <= static_cast<std::uint8_t>(ErrorCode::kIo);
  return {known ? static_cast<ErrorCode>(failed.code) : ErrorCode::kProtocol,
          failed.detail};
}

}  // namespace hickoryloft::wire
