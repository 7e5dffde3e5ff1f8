// The burn report as plain text.

#ifndef SOURCE_REPORT_TEXT_REPORT_H_
#define SOURCE_REPORT_TEXT_REPORT_H_

#include <string>
#include <vector>

#include "report/burn.h"

namespace hickoryloft::report {

// Returns a table of burn rates and, for each objective whose rate in the first
// window is at least 1, the causes and the accounts and kinds with failures.
// Thread-safe.
std::string TextReport(const std::vector<WindowBurn>& windows);

// Returns the causes of `tally`, largest first, as "cold-start 12, rate 3".
std::string CausesText(const Tally& tally);

// Returns a burn rate as text, for example "3.10"; "none" if the objective
// applied to no request. Doubled actions always have a rate.
std::string RateText(const ObjectiveBurn& burn);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_TEXT_REPORT_H_
