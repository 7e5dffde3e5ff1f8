#include "base/error.h"

namespace hickoryloft {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid-argument";
    case ErrorCode::kInvalidSettings:
      return "invalid-settings";
    case ErrorCode::kInvalidDocument:
      return "invalid-document";
    case ErrorCode::kMalformedFrame:
      return "malformed-frame";
    case ErrorCode::kFrameTooLarge:
      return "frame-too-large";
    case ErrorCode::kWrongVersion:
      return "wrong-version";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kOutcomeUnknown:
      return "outcome-unknown";
    case ErrorCode::kTimedOut:
      return "timed-out";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
    case ErrorCode::kForbidden:
      return "forbidden";
    case ErrorCode::kExhausted:
      return "exhausted";
    case ErrorCode::kFenced:
      return "fenced";
    case ErrorCode::kProtocol:
      return "protocol";
    case ErrorCode::kIo:
      return "io";
  }
  return "unknown";
}

Error::Error(ErrorCode code, const std::string& detail)
    : std::runtime_error(detail), m_code(code) {}

}  // namespace hickoryloft
