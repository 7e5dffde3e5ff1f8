// Service-level burn: how fast each objective's allowance of failures is used.
//
// A burn rate of 1 uses the allowance exactly; above 1 the objective is missed
// if the rate lasts.

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
  kFirstAnswer,        // First answers within the objective's time.
  kRefusedWithinRate,  // Requests refused although within their rate.
  kWorstAccount,       // Weighted service of the worst-served account.
  kDoubledActions,     // Actions executed more than once; none is allowed.
};

constexpr std::array<Objective, 4> kObjectives = {
    Objective::kFirstAnswer, Objective::kRefusedWithinRate,
    Objective::kWorstAccount, Objective::kDoubledActions};

// Returns the objective's name for reports. Thread-safe.
std::string_view ToString(Objective objective);

// A period over which burn is computed, ending at the newest sample.
struct Window {
  std::string m_name;
  std::chrono::seconds m_length;
};

// The windows of the report: 5 minutes, 1 hour, 6 hours.
const std::vector<Window>& Windows();

// Requests that count for an objective, and those that failed it.
struct Tally {
  double m_total = 0;
  double m_bad = 0;
  std::map<std::string, double> m_causes;  // Of the bad ones.

  double BadShare() const { return m_total > 0 ? m_bad / m_total : 0; }
};

// One objective over one window.
struct Burn {
  Objective m_objective = Objective::kFirstAnswer;
  double m_allowed_share = 0;
  Tally m_tally;
  double m_rate = 0;  // Bad share / allowed share.
  std::map<std::string, Tally> m_by_account;
  std::map<std::string, Tally> m_by_kind;
};

// Burn of all objectives over one window.
struct WindowBurn {
  Window m_window;
  bool m_covered = false;  // The history reaches back to the window's begin.
  std::vector<Burn> m_burns;
};

// A point of a burn plot.
struct BurnPoint {
  WallTime m_time;
  std::array<double, kObjectives.size()> m_rates{};
};

// Settings of the computation that come from the document.
struct BurnInputs {
  documents::ObjectivesSpec m_objectives;
  std::map<std::string, double> m_kind_weights;  // Missing kinds weigh 1.
};

// Returns the inputs that `document` states. Thread-safe.
BurnInputs InputsFrom(const documents::Document& document);

// Computes the burn over (`begin`, `end`]. Thread-safe.
std::vector<Burn> ComputeBurn(const History& history,
                              const BurnInputs& inputs,
                              WallTime begin,
                              WallTime end);

// Computes the burn over each of Windows(). Precondition: history not empty.
std::vector<WindowBurn> ComputeWindows(const History& history,
                                       const BurnInputs& inputs);

// Computes the burn over `step` at each of `points` times up to the newest
// sample, oldest first. Precondition: history not empty.
std::vector<BurnPoint> ComputePlot(const History& history,
                                   const BurnInputs& inputs,
                                   std::chrono::milliseconds step,
                                   std::size_t points);

}  // namespace hickoryloft::report

#endif  // SOURCE_REPORT_BURN_H_
