// A line plot as SVG.

#ifndef SOURCE_REPORT_SVG_PLOT_H_
#define SOURCE_REPORT_SVG_PLOT_H_

#include <string>
#include <vector>

namespace hickoryloft::report {

// A plot of values over time with a horizontal line at a limit.
struct PlotSpec {
  std::string m_title;
  std::vector<double> m_values;            // Evenly spaced, oldest first.
  std::vector<std::string> m_time_labels;  // One per value.
  double m_limit = 0;                      // Drawn as a dashed line.
};

// Returns `plot` as an <svg> element without references to other files.
// Thread-safe.
std::string SvgPlot(const PlotSpec& plot);

// Returns `text` with HTML special characters escaped. Thread-safe.
std::string EscapeHtml(const std::string& text);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_SVG_PLOT_H_
