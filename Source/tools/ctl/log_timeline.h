// Merges the logs of several hosts into the timeline of one request.

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

// Selects the log lines of one request, and the lines from the same period
// about the hosts, endpoints and models that the request's lines name. Not
// thread-safe.
class LogTimeline {
 public:
  // The timeline starts this long before the request's first line, since
  // earlier events may explain the request. Longer than loading a model from
  // the weight store takes.
  static constexpr Duration kContextBeforeStart = seconds(10);

  explicit LogTimeline(std::string request_id);

  // Reads log lines in JSON. A log collector may have added a prefix to each:
  // its last word is the name of the host. Without a prefix, the host is
  // `source`. Other lines are counted and skipped.
  void Read(std::istream& lines, const std::string& source);

  // Writes the timeline and the outcome of the request. Throws Error(kNotFound)
  // if no line has the request's id.
  void Print(std::ostream& out) const;

  // Returns the number of non-empty lines that are not log lines.
  std::size_t skipped_lines() const { return m_skipped_lines; }

 private:
  using Time = std::chrono::sys_time<milliseconds>;
  struct Line {
    Time m_time;
    std::string m_host;
    nlohmann::ordered_json m_fields;
    bool m_has_request_id = false;
  };
  // The period of the request, and the hosts, endpoints and models in its
  // lines.
  struct Scope {
    Time m_begin;
    Time m_end;
    std::set<std::string> m_hosts;
    std::set<std::string> m_endpoints;
    std::set<std::string> m_models;
    std::set<std::string> m_prompt_parts;
  };

  static std::optional<Time> ParseTime(const nlohmann::ordered_json& fields);
  static std::string StringField(const nlohmann::ordered_json& fields,
                                 const char* name);
  Scope CollectScope() const;
  static bool NamesPromptPart(const Line& line, const Scope& scope);
  static bool IsInScope(const Line& line, const Scope& scope);
  static void PrintLine(const Line& line, std::ostream& out);
  void PrintOutcome(const std::vector<const Line*>& lines,
                    std::ostream& out) const;

  std::string m_request_id;
  std::vector<Line> m_lines;
  std::size_t m_skipped_lines = 0;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_CTL_LOG_TIMELINE_H_
