// The burn report as one self-contained HTML page with plots.

#ifndef SOURCE_REPORT_HTML_REPORT_H_
#define SOURCE_REPORT_HTML_REPORT_H_

#include <string>
#include <vector>

#include "report/burn.h"

namespace hickoryloft::report {

// Returns the page. It refers to no other file. Thread-safe.
std::string HtmlReport(const std::string& service,
                       const std::vector<WindowBurn>& windows,
                       const std::vector<BurnPoint>& plot);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_HTML_REPORT_H_
