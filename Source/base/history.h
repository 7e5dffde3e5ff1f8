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

// Whether `era` is in the range that InEra() accepts. Thread-safe.
bool IsValidEra(Era era);
// Returns the revision that the service numbered `number` in `era`. Those of a
// later era are greater than all of the eras before it. 0, which means none, is
// 0 in every era. Throws Error(kProtocol) if an argument is out of range.
// Thread-safe.
Revision InEra(Era era, std::int64_t number);
// Return the parts of a revision. Thread-safe.
Era EraOf(Revision revision);
std::int64_t NumberIn(Revision revision);

// Returns the id of the lease that the service numbered `number`, up to 2^53,
// in `era`. Unlike revisions, lease ids have no order; they differ from those
// of the next thousand eras. 0, which means none, is 0 in every era. Throws
// Error(kProtocol) if `number` is out of range. Thread-safe.
std::int64_t LeaseInEra(Era era, std::int64_t number);
// Whether the service gave out `lease` in `era`. Thread-safe.
bool IsLeaseOf(Era era, std::int64_t lease);
std::int64_t LeaseNumber(std::int64_t lease);

// Returns the era and the number of a revision for the log, or the number alone
// if the service keeps its history. Thread-safe.
std::string DescribeRevision(Revision revision);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_HISTORY_H_
