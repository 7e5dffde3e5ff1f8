#include "tools/ctl/log_timeline.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <sstream>
#include <utility>

#include "base/error.h"

namespace hickoryloft::tools {

namespace {

using nlohmann::ordered_json;

// Loggers of host-wide events. Their lines may explain a request although they
// name no endpoint, engine or model.
constexpr std::array<const char*, 7> kHostWideLoggers = {
    "main", "host", "knowledge", "store", "holder", "membership", "log"};

// Returns the last word of `text`, or "" if it has none.
std::string LastWord(const std::string& text) {
  const std::size_t end = text.find_last_not_of(" \t");
  if (end == std::string::npos) {
    return "";
  }
  const std::size_t space = text.find_last_of(" \t", end);
  const std::size_t begin = space == std::string::npos ? 0 : space + 1;
  return text.substr(begin, end + 1 - begin);
}

}  // namespace

LogTimeline::LogTimeline(std::string request_id)
    : m_request_id(std::move(request_id)) {}

std::optional<LogTimeline::Time> LogTimeline::ParseTime(
    const ordered_json& fields) {
  const std::string text = StringField(fields, "time");
  std::tm calendar_time{};
  const char* after_seconds =
      strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &calendar_time);
  if (after_seconds == nullptr) {
    return std::nullopt;
  }
  const std::string fraction = after_seconds;
  milliseconds millis{};
  if (fraction.size() == 4 && fraction[0] == '.') {
    millis = milliseconds(std::strtol(fraction.c_str() + 1, nullptr, 10));
  }
  return Time(std::chrono::seconds(timegm(&calendar_time)) + millis);
}

std::string LogTimeline::StringField(const ordered_json& fields,
                                     const char* name) {
  const auto field = fields.find(name);
  return field != fields.end() && field->is_string() ? field->get<std::string>()
                                                     : "";
}

void LogTimeline::Read(std::istream& lines, const std::string& source) {
  std::string text;
  while (std::getline(lines, text)) {
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
      m_skipped_lines += text.empty() ? 0 : 1;
      continue;
    }
    ordered_json fields =
        ordered_json::parse(text.substr(begin), nullptr, false);
    const auto time = fields.is_object() ? ParseTime(fields) : std::nullopt;
    if (!time) {
      ++m_skipped_lines;
      continue;
    }
    const std::string id = StringField(fields, "id");
    if (!id.empty() && id != m_request_id) {
      continue;
    }
    const std::string host = LastWord(text.substr(0, begin));
    m_lines.push_back({.m_time = *time,
                       .m_host = host.empty() ? source : host,
                       .m_fields = std::move(fields),
                       .m_has_request_id = !id.empty()});
  }
}

LogTimeline::Scope LogTimeline::CollectScope() const {
  Scope scope{.m_begin = Time::max(), .m_end = Time::min()};
  for (const Line& line : m_lines) {
    if (!line.m_has_request_id) {
      continue;
    }
    scope.m_begin = std::min(scope.m_begin, line.m_time);
    scope.m_end = std::max(scope.m_end, line.m_time);
    scope.m_hosts.insert(line.m_host);
    scope.m_endpoints.insert(StringField(line.m_fields, "endpoint"));
    scope.m_models.insert(StringField(line.m_fields, "model"));
    scope.m_prompt_parts.insert(StringField(line.m_fields, "prompt_part"));
  }
  scope.m_prompt_parts.erase("");
  scope.m_endpoints.erase("");
  scope.m_models.erase("");
  if (scope.m_hosts.empty()) {
    throw Error(ErrorCode::kNotFound, "no line has the request id '" +
                                          m_request_id +
                                          "'; give the logs of all hosts");
  }
  scope.m_begin -= ToMillis(kContextBeforeStart);
  return scope;
}

bool LogTimeline::NamesPromptPart(const Line& line, const Scope& scope) {
  if (scope.m_prompt_parts.contains(
          StringField(line.m_fields, "prompt_part"))) {
    return true;
  }
  std::istringstream parts(StringField(line.m_fields, "prompt_parts"));
  std::string part;
  while (std::getline(parts, part, ',')) {
    if (scope.m_prompt_parts.contains(part)) {
      return true;
    }
  }
  return false;
}

bool LogTimeline::IsInScope(const Line& line, const Scope& scope) {
  if (line.m_has_request_id) {
    return true;
  }
  if (line.m_time > scope.m_end) {
    return false;
  }
  // What led to the rejection of a prompt part may lie long before.
  if (NamesPromptPart(line, scope)) {
    return true;
  }
  if (line.m_time < scope.m_begin) {
    return false;
  }
  const std::string endpoint = StringField(line.m_fields, "endpoint");
  const std::string engine = StringField(line.m_fields, "engine");
  const std::string model = StringField(line.m_fields, "model");
  if (endpoint.empty() && engine.empty() && model.empty()) {
    const std::string part = StringField(line.m_fields, "part");
    return scope.m_hosts.contains(line.m_host) &&
           std::find(kHostWideLoggers.begin(), kHostWideLoggers.end(), part) !=
               kHostWideLoggers.end();
  }
  return scope.m_models.contains(model) ||
         (scope.m_hosts.contains(line.m_host) &&
          scope.m_endpoints.contains(endpoint)) ||
         scope.m_endpoints.contains(engine);
}

void LogTimeline::PrintLine(const Line& line, std::ostream& out) {
  const std::string time = StringField(line.m_fields, "time");
  out << time.substr(std::min<std::size_t>(time.size(), 11)) << "  "
      << (line.m_has_request_id ? "* " : "  ") << line.m_host << "  "
      << StringField(line.m_fields, "part") << ": "
      << StringField(line.m_fields, "message");
  for (const auto& [name, value] : line.m_fields.items()) {
    if (name == "time" || name == "level" || name == "part" ||
        name == "message" || name == "id") {
      continue;
    }
    out << ' ' << name << '='
        << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  out << '\n';
}

void LogTimeline::PrintOutcome(const std::vector<const Line*>& lines,
                               std::ostream& out) const {
  const Line* last_request_line = nullptr;
  bool lines_dropped = false;
  for (const Line* line : lines) {
    last_request_line = line->m_has_request_id ? line : last_request_line;
    lines_dropped =
        lines_dropped || StringField(line->m_fields, "part") == "log";
  }
  const std::string message =
      StringField(last_request_line->m_fields, "message");
  out << "request " << m_request_id << ": ";
  if (message == "over") {
    out << StringField(last_request_line->m_fields, "outcome");
  } else if (message == "rejected") {
    out << message;
  } else {
    out << "its end is not in these logs";
  }
  const std::string reason = StringField(last_request_line->m_fields, "reason");
  out << (reason.empty() ? "" : ", " + reason) << '\n';
  if (lines_dropped) {
    out << "lines were dropped at the time; some may be missing here\n";
  }
}

void LogTimeline::Print(std::ostream& out) const {
  const Scope scope = CollectScope();
  std::vector<const Line*> lines;
  for (const Line& line : m_lines) {
    if (IsInScope(line, scope)) {
      lines.push_back(&line);
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const Line* left, const Line* right) {
                     return left->m_time < right->m_time;
                   });
  for (const Line* line : lines) {
    PrintLine(*line, out);
  }
  PrintOutcome(lines, out);
}

}  // namespace hickoryloft::tools
