// The codec of the inner protocol: a fixed header, then one FlatBuffers
// envelope.
//
// Header, big-endian: 2 bytes magic, 2 bytes protocol version, 4 bytes length
// of the envelope.

#ifndef SOURCE_WIRE_FRAME_H_
#define SOURCE_WIRE_FRAME_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "base/error.h"
#include "messages_generated.h"

namespace hickoryloft::wire {

constexpr std::uint16_t kFrameMagic = 0x686C;
constexpr std::uint16_t kProtocolVersion = 2;
constexpr std::size_t kFrameHeaderBytes = 8;
// A document is at most one megabyte; a snapshot of several documents must fit.
constexpr std::size_t kMaxFrameBytes = std::size_t{16} * 1024 * 1024;

// Returns `envelope` encoded as one frame. Thread-safe. Throws
// Error(kFrameTooLarge).
std::string EncodeFrame(const EnvelopeT& envelope);

// Returns the length of the envelope that follows `header`. Thread-safe.
// Precondition: `header` has kFrameHeaderBytes bytes.
// Throws Error(kMalformedFrame) for a wrong magic, Error(kWrongVersion),
// Error(kFrameTooLarge).
std::size_t DecodeHeader(std::span<const std::uint8_t> header);

// Returns the envelope in `bytes`. Thread-safe. Throws Error(kMalformedFrame)
// if they are not a valid envelope.
EnvelopeT DecodeEnvelope(std::span<const std::uint8_t> bytes);

// Returns an envelope that holds `body`, a message of the object API such as
// HeartbeatT.
template <typename Message>
EnvelopeT MakeEnvelope(Message body) {
  EnvelopeT envelope;
  envelope.body.Set(std::move(body));
  return envelope;
}

// Returns a reply to `request` that holds `body`.
template <typename Message>
EnvelopeT MakeReply(const EnvelopeT& request, Message body) {
  EnvelopeT envelope = MakeEnvelope(std::move(body));
  envelope.correlation = request.correlation;
  envelope.is_reply = true;
  return envelope;
}

// Returns a RequestFailed message that carries `error`.
RequestFailedT ToRequestFailed(const Error& error,
                               std::uint32_t retry_after_ms = 0);

// Returns the Error carried by `failed`; an unknown code becomes kProtocol.
// Thread-safe.
Error ToError(const RequestFailedT& failed);

}  // namespace hickoryloft::wire

#endif  // SOURCE_WIRE_FRAME_H_
