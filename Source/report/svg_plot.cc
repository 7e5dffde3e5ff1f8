#include "report/svg_plot.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace hickoryloft::report {

namespace {

// Sizes in SVG user units.
constexpr double kWidth = 560;
constexpr double kHeight = 170;
constexpr double kLeftMargin = 48;
constexpr double kRightMargin = 12;
constexpr double kTopMargin = 28;
constexpr double kBottomMargin = 24;

// Axis labels that are closer to each other than this overlap.
constexpr double kLabelHeight = 12;

// Formats an axis value: with two decimals below 10, else as a whole number.
std::string FormatAxisLabel(double value) {
  std::ostringstream out;
  constexpr double kNoDecimalsFrom = 10;
  out << std::fixed << std::setprecision(value >= kNoDecimalsFrom ? 0 : 2)
      << value;
  return out.str();
}

double XCoordinate(std::size_t index, std::size_t count) {
  const double span = kWidth - kLeftMargin - kRightMargin;
  if (count < 2) {
    return kLeftMargin + span;
  }
  return kLeftMargin +
         span * static_cast<double>(index) / static_cast<double>(count - 1);
}

double YCoordinate(double value, double maximum) {
  return kHeight - kBottomMargin -
         (kHeight - kTopMargin - kBottomMargin) * value / maximum;
}

void WriteHorizontalLine(std::ostream& out,
                         double y,
                         const char* style,
                         const std::string& label) {
  out << "<line x1='" << kLeftMargin << "' x2='" << kWidth - kRightMargin
      << "' y1='" << y << "' y2='" << y << "' " << style << "/><text x='"
      << kLeftMargin - 6 << "' y='" << y + 4 << "' text-anchor='end'>" << label
      << "</text>";
}

void WriteCurve(std::ostream& out, const PlotSpec& plot, double maximum) {
  out << "<polyline fill='none' stroke='#1f5f8b' stroke-width='2' points='";
  for (std::size_t i = 0; i < plot.m_values.size(); ++i) {
    out << XCoordinate(i, plot.m_values.size()) << ','
        << YCoordinate(plot.m_values[i], maximum) << ' ';
  }
  out << "'/>";
}

void WriteTimeLabels(std::ostream& out, const PlotSpec& plot) {
  if (plot.m_time_labels.empty()) {
    return;
  }
  out << "<text x='" << kLeftMargin << "' y='" << kHeight - 6 << "'>"
      << EscapeHtml(plot.m_time_labels.front()) << "</text><text x='"
      << kWidth - kRightMargin << "' y='" << kHeight - 6
      << "' text-anchor='end'>" << EscapeHtml(plot.m_time_labels.back())
      << "</text>";
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
      << "'><text x='" << kLeftMargin << "' y='16' class='title'>"
      << EscapeHtml(plot.m_title) << "</text>";
  const bool zero_label_fits =
      YCoordinate(0, maximum) - YCoordinate(plot.m_limit, maximum) >=
      kLabelHeight;
  WriteHorizontalLine(out, YCoordinate(0, maximum), "stroke='#888'",
                      zero_label_fits ? "0" : "");
  WriteHorizontalLine(out, YCoordinate(plot.m_limit, maximum),
                      "stroke='#b03a2e' stroke-dasharray='5 4'",
                      FormatAxisLabel(plot.m_limit));
  WriteHorizontalLine(out, YCoordinate(maximum, maximum), "stroke='#ddd'",
                      FormatAxisLabel(maximum));
  WriteCurve(out, plot, maximum);
  WriteTimeLabels(out, plot);
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
