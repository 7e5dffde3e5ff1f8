// Functions shared by the answers to all kinds of requests.

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

// Returns how long the caller is willing to wait for a first answer: the value
// of X-Patience-Ms, or `default_patience` without that header. Thread-safe.
// Throws Error(kInvalidArgument) unless the header is a whole number of
// milliseconds from 1 to 3,600,000.
Duration ReadPatience(const CallerRequest& request, Duration default_patience);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_REPLY_H_
