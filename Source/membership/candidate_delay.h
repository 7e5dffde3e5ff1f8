// How long a host leaves a free lease to better candidates.

#ifndef SOURCE_MEMBERSHIP_CANDIDATE_DELAY_H_
#define SOURCE_MEMBERSHIP_CANDIDATE_DELAY_H_

#include <string>

#include "base/time.h"
#include "membership/report_groups.h"

namespace hickoryloft::membership {

// Returns the time that `host` waits before it tries to obtain the lease at
// `key`. Relays go first, because they are hosts of high capacity and have the
// demand of the whole fleet. Thread-safe.
Duration CandidateDelay(const HostId& host,
                        const ReportGroups& groups,
                        const std::string& key);

}  // namespace hickoryloft::membership

#endif  // SOURCE_MEMBERSHIP_CANDIDATE_DELAY_H_
