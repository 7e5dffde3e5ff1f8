#include "report/html_report.h"

#include <ctime>
#include <iomanip>
#include <sstream>

#include "report/svg_plot.h"
#include "report/text_report.h"

namespace hickoryloft::report {

namespace {

constexpr char kStyle[] =
    "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1200px;"
    "padding:0 "
    "1em;color:#222}h1{font-size:1.5em}table{border-collapse:collapse;"
    "margin:.8em 0}th,td{padding:.3em .9em;border-bottom:1px solid #ddd;"
    "text-align:right}th:first-child,td:first-child{text-align:left}"
    ".burning{background:#fbe3e0;font-weight:600}.plots{display:grid;"
    "grid-template-columns:repeat(auto-fit,minmax(420px,1fr));gap:1em}"
    "svg{width:100%;border:1px solid #e4e4e4;background:#fff}"
    "svg text{font:11px system-ui,sans-serif;fill:#444}"
    "svg .title{font-size:13px;font-weight:600}small{color:#666}";

std::string FormatTime(WallTime time) {
  const std::time_t seconds_since_epoch =
      std::chrono::system_clock::to_time_t(time);
  std::tm utc{};
  gmtime_r(&seconds_since_epoch, &utc);
  std::ostringstream out;
  out << std::put_time(&utc, "%Y-%m-%d %H:%M:%S UTC");
  return out.str();
}

void WriteRateTable(std::ostream& out, const std::vector<WindowBurn>& windows) {
  out << "<table><tr><th>objective</th><th>allowed</th>";
  for (const WindowBurn& window : windows) {
    out << "<th>" << EscapeHtml(window.m_window.m_name)
        << (window.m_fully_covered ? "" : " *") << "</th>";
  }
  out << "</tr>";
  for (std::size_t i = 0; i < kObjectives.size(); ++i) {
    out << "<tr><td>" << ToString(kObjectives[i]) << "</td><td>"
        << 100 * windows.front().m_burns[i].m_allowed_share << " %</td>";
    for (const WindowBurn& window : windows) {
      const ObjectiveBurn& burn = window.m_burns[i];
      out << (burn.m_rate >= 1 ? "<td class='burning'>" : "<td>")
          << RateText(burn) << "</td>";
    }
    out << "</tr>";
  }
  out << "</table><small>1.00 uses the allowance exactly. * The history is "
         "shorter than the window.</small>";
}

void WriteTallyTable(std::ostream& out,
                     const std::string& title,
                     const std::map<std::string, Tally>& tallies) {
  out << "<table><tr><th>" << title
      << "</th><th>counted</th><th>failed</th><th>share</th></tr>";
  for (const auto& [name, tally] : tallies) {
    out << "<tr><td>" << EscapeHtml(name.empty() ? "(none)" : name)
        << "</td><td>" << tally.m_total << "</td><td>" << tally.m_failed
        << "</td><td>" << 100 * tally.FailedShare() << " %</td></tr>";
  }
  out << "</table>";
}

void WriteDetails(std::ostream& out, const WindowBurn& window) {
  for (const ObjectiveBurn& burn : window.m_burns) {
    out << "<h2>" << ToString(burn.m_objective) << ", last "
        << EscapeHtml(window.m_window.m_name) << "</h2>";
    const std::string causes = CausesText(burn.m_tally);
    out << "<p>" << (causes.empty() ? "No failure was counted." : "Why: ")
        << EscapeHtml(causes) << "</p>";
    WriteTallyTable(out, "client account", burn.m_by_account);
    WriteTallyTable(out, "kind", burn.m_by_kind);
  }
}

void WritePlots(std::ostream& out, const std::vector<BurnPoint>& plot) {
  out << "<div class='plots'>";
  for (std::size_t i = 0; i < kObjectives.size(); ++i) {
    PlotSpec spec{
        .m_title = "Burn rate: " + std::string(ToString(kObjectives[i])),
        .m_values = {},
        .m_time_labels = {},
        .m_limit = 1};
    for (const BurnPoint& point : plot) {
      spec.m_values.push_back(point.m_rates[i]);
      spec.m_time_labels.push_back(FormatTime(point.m_time));
    }
    out << SvgPlot(spec);
  }
  out << "</div>";
}

}  // namespace

std::string HtmlReport(const std::string& service,
                       const std::vector<WindowBurn>& windows,
                       const std::vector<BurnPoint>& plot) {
  std::ostringstream out;
  out << std::setprecision(4);
  out << "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>"
      << "Service-level burn of " << EscapeHtml(service) << "</title><style>"
      << kStyle << "</style></head><body><h1>Service-level burn of "
      << EscapeHtml(service) << "</h1>";
  if (!plot.empty()) {
    out << "<p>Up to " << FormatTime(plot.back().m_time) << "</p>";
  }
  WriteRateTable(out, windows);
  WritePlots(out, plot);
  WriteDetails(out, windows.front());
  out << "</body></html>\n";
  return out.str();
}

}  // namespace hickoryloft::report
