#include "report/svg_plot.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace hickoryloft::report {

namespace {

// Sizes in SVG user units.
constexpr double kWidth = 560;
constexpr double kHeight = 170;
constexpr double kLeft = 48;
constexpr double kRight = 12;
constexpr double kTop = 28;
constexpr double kBottom = 24;

// Axis labels that are closer to each other than this overlap.
constexpr double kLabelHeight = 12;

// Formats an axis value: with two decimals below 10, else as a whole number.
std::string AxisLabel(double value) {
  std::ostringstream out;
  constexpr double kWholeFrom = 10;
  out << std::fixed << std::setprecision(value >= kWholeFrom ? 0 : 2) << value;
  return out.str();
}

double X(std::size_t index, std::size_t count) {
  const double span = kWidth - kLeft - kRight;
  if (count < 2) {
    return kLeft + span;
  }
  return kLeft +
         span * static_cast<double>(index) / static_cast<double>(count - 1);
}

double Y(double value, double maximum) {
  return kHeight - kBottom - (kHeight - kTop - kBottom) * value / maximum;
}

void WriteLine(std::ostream& out,
               double y,
               const char* style,
               const std::string& label) {
  out << "<line x1='" << kLeft << "' x2='" << kWidth - kRight << "' y1='" << y
      << "' y2='" << y << "' " << style << "/><text x='" << kLeft - 6 << "' y='"
      << y + 4 << "' text-anchor='end'>" << label << "</text>";
}

void WriteCurve(std::ostream& out, const PlotSpec& plot, double maximum) {
  out << "<polyline fill='none' stroke='#1f5f8b' stroke-width='2' points='";
  for (std::size_t i = 0; i < plot.m_values.size(); ++i) {
    out << X(i, plot.m_values.size()) << ',' << Y(plot.m_values[i], maximum)
        << ' ';
  }
  out << "'/>";
}

void WriteTimes(std::ostream& out, const PlotSpec& plot) {
  if (plot.m_time_labels.empty()) {
    return;
  }
  out << "<text x='" << kLeft << "' y='" << kHeight - 6 << "'>"
      << EscapeHtml(plot.m_time_labels.front()) << "</text><text x='"
      << kWidth - kRight << "' y='" << kHeight - 6 << "' text-anchor='end'>"
      << EscapeHtml(plot.m_time_labels.back()) << "</text>";
}

}  // namespace

std::string SvgPlot(const PlotSpec& plot) {
  double maximum = std::max(1.0, plot.m_limit * 1.25);
  for (const double value : plot.m_values) {
    maximum = std::max(maximum, value * 1.1);
  }
  std::ostringstream out;
  out << std::setprecision(3);
  out << "<svg viewBox='0 0 " << kWidth << ' ' << kHeight
      << "' role='img' aria-label='" << EscapeHtml(plot.m_title)
      << "'><text x='" << kLeft << "' y='16' class='title'>"
      << EscapeHtml(plot.m_title) << "</text>";
  const bool room = Y(0, maximum) - Y(plot.m_limit, maximum) >= kLabelHeight;
  WriteLine(out, Y(0, maximum), "stroke='#888'", room ? "0" : "");
  WriteLine(out, Y(plot.m_limit, maximum),
            "stroke='#b03a2e' stroke-dasharray='5 4'", AxisLabel(plot.m_limit));
  WriteLine(out, Y(maximum, maximum), "stroke='#ddd'", AxisLabel(maximum));
  WriteCurve(out, plot, maximum);
  WriteTimes(out, plot);
  out << "</svg>";
  return out.str();
}

std::string EscapeHtml(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '\'':
        out += "&#39;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out.push_back(c);
    }
  }
  return out;
}

}  // namespace hickoryloft::report
