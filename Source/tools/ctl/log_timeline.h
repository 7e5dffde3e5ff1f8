// Joins the log lines of several hosts into one request's timeline.

#ifndef SOURCE_TOOLS_CTL_LOG_TIMELINE_H_
#define SOURCE_TOOLS_CTL_LOG_TIMELINE_H_

#include <chrono>
#include <cstddef>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace hickoryloft::tools {

// Keeps the lines of one request, and those that tell what the hosts, the
// endpoints and the models it met went through at the time. Not thread-safe.
class LogTimeline {
 public:
  // What happened to hosts, endpoints and models this long before a request's
  // first line may explain it: longer than a load from the weight store.
  static constexpr Duration kContext = seconds(10);

  explicit LogTimeline(std::string request_id);

  // Reads lines as the programs write them, in JSON, each after whatever a log
  // collector puts in front; the last word of that names the host, else
  // `source` does. Other lines are counted and skipped.
  void Read(std::istream& lines, const std::string& source);

  // Writes the timeline and what became of the request. Throws
  // Error(kNotFound) if no line that was read bears its id.
  void Print(std::ostream& out) const;

  std::size_t skipped_lines() const { return m_skipped; }

 private:
  using Time = std::chrono::sys_time<milliseconds>;
  struct Line {
    Time m_time;
    std::string m_host;
    nlohmann::ordered_json m_fields;
    bool m_own = false;  // Bears the request's id.
  };
  // What the request met.
  struct Scope {
    Time m_begin;
    Time m_end;
    std::set<std::string> m_hosts;
    std::set<std::string> m_endpoints;
    std::set<std::string> m_models;
  };

  static std::optional<Time> ParseTime(const nlohmann::ordered_json& fields);
  static std::string Text(const nlohmann::ordered_json& fields,
                          const char* name);
  Scope FindScope() const;
  static bool Belongs(const Line& line, const Scope& scope);
  static void PrintLine(const Line& line, std::ostream& out);
  void PrintOutcome(const std::vector<const Line*>& lines,
                    std::ostream& out) const;

  std::string m_request_id;
  std::vector<Line> m_lines;
  std::size_t m_skipped = 0;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_CTL_LOG_TIMELINE_H_
