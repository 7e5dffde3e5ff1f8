// Answers that every kind of request gives.

#ifndef SOURCE_ENTRY_REPLY_H_
#define SOURCE_ENTRY_REPLY_H_

#include <string>

#include "entry/caller_exchange.h"
#include "entry/problem.h"

namespace hickoryloft::entry {

// Returns the X-Request-Id header for an answer, if the caller gave one.
// Thread-safe.
endpoint::HeaderFields EchoedHeaders(const CallerRequest& request);

// Answers `exchange` with `problem`. Use on the loop's thread only.
void SendProblem(CallerExchange& exchange, const Problem& problem);

// Returns the time that the caller is willing to wait for a first answer:
// X-Patience-Ms, else `fallback`. Thread-safe. Throws Error(kInvalidArgument)
// for a header that is not a positive whole number of milliseconds.
Duration ReadPatience(const CallerRequest& request, Duration fallback);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_REPLY_H_
