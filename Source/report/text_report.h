// The burn report for a terminal.

#ifndef SOURCE_REPORT_TEXT_REPORT_H_
#define SOURCE_REPORT_TEXT_REPORT_H_

#include <string>
#include <vector>

#include "report/burn.h"

namespace hickoryloft::report {

// Returns a table of burn rates, then what burns and why. Thread-safe.
std::string TextReport(const std::vector<WindowBurn>& windows);

// Returns the causes of `tally`, largest first, as "cold-start 12, rate 3".
std::string CausesText(const Tally& tally);

// Returns a burn rate as text: "0.00", "3.1", or "none" without any request.
std::string RateText(const Burn& burn);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_TEXT_REPORT_H_
