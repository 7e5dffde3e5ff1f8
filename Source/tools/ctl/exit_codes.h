// Exit codes of the command-line tools.

#ifndef SOURCE_TOOLS_CTL_EXIT_CODES_H_
#define SOURCE_TOOLS_CTL_EXIT_CODES_H_

#include "base/error.h"

namespace hickoryloft::tools {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitConflict = 3;
constexpr int kExitUnreachable = 4;
constexpr int kExitInvalidInput = 5;
constexpr int kExitOutcomeUnknown = 6;

// Description of the exit codes for help texts.
constexpr char kExitCodesHelp[] =
    "Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the document was changed "
    "by someone else; 4 the coordinator cannot be reached; 5 invalid input; "
    "6 the outcome is not known.";

// Returns the exit code for an Error with `code`. Thread-safe.
int ExitCodeFor(ErrorCode code);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_CTL_EXIT_CODES_H_
