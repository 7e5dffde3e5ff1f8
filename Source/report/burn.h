// Burn rates of service-level objectives: how fast the allowed failures (the
// error budget) of each objective are used up.
//
// A burn rate of 1 uses the allowance exactly. The objective is missed if a
// rate above 1 persists.

#ifndef SOURCE_REPORT_BURN_H_
#define SOURCE_REPORT_BURN_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "documents/document.h"
#include "report/history.h"

namespace hickoryloft::report {

enum class Objective {
  kFirstAnswer,        // First answers within the time of the objective.
  kRefusedWithinRate,  // Requests refused although within their rate.
  kWorstAccount,       // Weighted completions of the worst-served account.
  kDoubledActions,     // Actions executed more than once; none is allowed.
};

constexpr std::array<Objective, 4> kObjectives = {
    Objective::kFirstAnswer, Objective::kRefusedWithinRate,
    Objective::kWorstAccount, Objective::kDoubledActions};

// Returns the name of the objective in reports. Thread-safe.
std::string_view ToString(Objective objective);

// A period over which burn rates are computed. It ends at the newest sample.
struct Window {
  std::string m_name;
  std::chrono::seconds m_length;
};

// Returns the windows of the report: 5 minutes, 1 hour and 6 hours.
// Thread-safe.
const std::vector<Window>& ReportWindows();

// The requests that an objective applies to and the ones that failed it.
struct Tally {
  double m_total = 0;
  double m_failed = 0;
  std::map<std::string, double> m_causes;  // Failures by cause.

  double FailedShare() const { return m_total > 0 ? m_failed / m_total : 0; }
};

// The burn of one objective over one window.
struct ObjectiveBurn {
  Objective m_objective = Objective::kFirstAnswer;
  double m_allowed_share = 0;
  Tally m_tally;
  // Share of failures / allowed share; without an allowance, the number of
  // failures.
  double m_rate = 0;
  std::map<std::string, Tally> m_by_account;
  std::map<std::string, Tally> m_by_kind;
};

// The burn of all objectives over one window.
struct WindowBurn {
  Window m_window;
  // Whether the history goes back to the start of the window.
  bool m_fully_covered = false;
  std::vector<ObjectiveBurn> m_burns;
};

// The burn rates at one time of a plot, in the order of kObjectives.
struct BurnPoint {
  WallTime m_time;
  std::array<double, kObjectives.size()> m_rates{};
};

// The parts of a document that burn rates depend on.
struct BurnInputs {
  documents::ObjectivesSpec m_objectives;
  std::map<std::string, double> m_kind_weights;  // 1 for other kinds.
};

// Reads the inputs from `document`. Thread-safe.
BurnInputs ReadBurnInputs(const documents::Document& document);

// Computes the burn of each objective over (`begin`, `end`]. Thread-safe.
std::vector<ObjectiveBurn> ComputeBurn(const History& history,
                                       const BurnInputs& inputs,
                                       WallTime begin,
                                       WallTime end);

// Computes the burn over each of ReportWindows(). Precondition: `history` is
// not empty.
std::vector<WindowBurn> ComputeWindowBurns(const History& history,
                                           const BurnInputs& inputs);

// Computes up to `points` points, `step` apart, oldest first; the last one is
// at the newest sample. Each covers the `step` before its time; points before
// the first sample are left out. Precondition: `history` is not empty.
std::vector<BurnPoint> ComputeBurnPlot(const History& history,
                                       const BurnInputs& inputs,
                                       std::chrono::milliseconds step,
                                       std::size_t points);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_BURN_H_
