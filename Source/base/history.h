// Revisions and lease ids of a service that may be restored from an older copy
// of its data. What was written since the copy is lost then, and the service
// gives its revisions and lease ids out again. Each restore starts a new era,
// so an era and a number of the service together name one revision or lease for
// good.

#ifndef SOURCE_BASE_HISTORY_H_
#define SOURCE_BASE_HISTORY_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace hickoryloft {

// Counts the restores of a service; 0 for a service that keeps its history.
using Era = std::int64_t;

// Returns the revision, or the lease id, that the service numbered `number` in
// `era`. Those of a later era are greater than all of the eras before it. 0,
// which means none, is 0 in every era. Throws Error(kProtocol) if an argument
// is out of range. Thread-safe.
std::int64_t InEra(Era era, std::int64_t number);
// Return the parts of a value of InEra(). Thread-safe.
Era EraOf(std::int64_t value);
std::int64_t NumberIn(std::int64_t value);

// Returns the era and the number of a revision for the log, or the number alone
// if the service keeps its history. Thread-safe.
std::string DescribeRevision(Revision revision);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_HISTORY_H_
