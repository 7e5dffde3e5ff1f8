#include "report/text_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace hickoryloft::report {

namespace {

constexpr int kNameWidth = 24;
constexpr int kRateWidth = 12;

void WriteHeader(std::ostream& out, const std::vector<WindowBurn>& windows) {
  out << std::left << std::setw(kNameWidth) << "objective";
  for (const WindowBurn& window : windows) {
    const std::string name =
        window.m_window.m_name + (window.m_fully_covered ? "" : "*");
    out << std::right << std::setw(kRateWidth) << name;
  }
  out << '\n';
}

void WriteRow(std::ostream& out,
              const std::vector<WindowBurn>& windows,
              std::size_t objective_index) {
  out << std::left << std::setw(kNameWidth)
      << ToString(kObjectives[objective_index]);
  for (const WindowBurn& window : windows) {
    out << std::right << std::setw(kRateWidth)
        << RateText(window.m_burns[objective_index]);
  }
  out << '\n';
}

void WriteTallies(std::ostream& out,
                  const char* title,
                  const std::map<std::string, Tally>& tallies) {
  for (const auto& [name, tally] : tallies) {
    if (tally.m_failed > 0) {
      out << "    " << title << ' ' << (name.empty() ? "(none)" : name) << ": "
          << std::setprecision(3) << 100 * tally.FailedShare() << " % of "
          << tally.m_total << '\n';
    }
  }
}

void WriteDetails(std::ostream& out, const WindowBurn& window) {
  for (const ObjectiveBurn& burn : window.m_burns) {
    if (burn.m_rate < 1) {
      continue;
    }
    out << "\nBurning over " << window.m_window.m_name << ": "
        << ToString(burn.m_objective) << '\n';
    const std::string causes = CausesText(burn.m_tally);
    if (!causes.empty()) {
      out << "    why: " << causes << '\n';
    }
    WriteTallies(out, "account", burn.m_by_account);
    WriteTallies(out, "kind", burn.m_by_kind);
  }
}

}  // namespace

std::string CausesText(const Tally& tally) {
  std::vector<std::pair<double, std::string>> causes;
  for (const auto& [name, count] : tally.m_causes) {
    if (count > 0) {
      causes.emplace_back(count, name);
    }
  }
  std::sort(causes.rbegin(), causes.rend());
  std::ostringstream out;
  for (const auto& [count, name] : causes) {
    out << (out.tellp() > 0 ? ", " : "") << name << ' ' << count;
  }
  return out.str();
}

std::string RateText(const ObjectiveBurn& burn) {
  if (burn.m_tally.m_total <= 0 &&
      burn.m_objective != Objective::kDoubledActions) {
    return "none";
  }
  std::ostringstream out;
  out << std::fixed << std::setprecision(2) << burn.m_rate;
  return out.str();
}

std::string TextReport(const std::vector<WindowBurn>& windows) {
  std::ostringstream out;
  out << "Burn rates (1.00 uses the allowance exactly; * the history is "
         "shorter than the window)\n\n";
  WriteHeader(out, windows);
  for (std::size_t i = 0; i < kObjectives.size(); ++i) {
    WriteRow(out, windows, i);
  }
  if (!windows.empty()) {
    WriteDetails(out, windows.front());
  }
  return out.str();
}

}  // namespace hickoryloft::report
