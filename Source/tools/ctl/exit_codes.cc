#include "tools/ctl/exit_codes.h"

namespace hickoryloft::tools {

int ExitCodeFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kConflict:
      return kExitConflict;
    case ErrorCode::kUnavailable:
      return kExitUnreachable;
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kInvalidDocument:
    case ErrorCode::kInvalidSettings:
      return kExitInvalidInput;
    case ErrorCode::kOutcomeUnknown:
    case ErrorCode::kTimedOut:
      return kExitOutcomeUnknown;
    default:
      return kExitFailed;
  }
}

}  // namespace hickoryloft::tools
