#include "base/log.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <memory>
#include <mutex>
#include <utility>

#include "base/bounded_sink.h"

namespace hickoryloft {

namespace {

// Enough for four lines per request at ten times the peak request rate per host
// in the capacity plan.
constexpr std::uint32_t kLinesPerKindPerSecond = 200;

struct LogState {
  std::mutex m_mutex;  // Guards m_line_limiter.
  LineRateLimiter m_line_limiter{kLinesPerKindPerSecond};
  LogFormat m_format = LogFormat::kText;
  std::shared_ptr<spdlog::logger> m_logger = spdlog::default_logger();
};

LogState& State() {
  static LogState state;
  return state;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarn:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

// Escapes quotes, backslashes and control characters, so that a value cannot
// imitate another line or field.
std::string Escape(std::string_view text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  out.reserve(text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (byte < 0x20) {
      out.append("\\u00");
      out.push_back(kDigits[byte >> 4U]);
      out.push_back(kDigits[byte & 15U]);
    } else {
      out.push_back(c);
    }
  }
  return out;
}

std::string TextValue(const std::string& value) {
  const std::string escaped = Escape(value);
  if (escaped == value && !value.empty() &&
      value.find(' ') == std::string::npos) {
    return value;
  }
  return '"' + escaped + '"';
}

std::string FormatLine(std::string_view prefix,
                       std::string_view message,
                       std::initializer_list<LogField> fields) {
  std::string line;
  if (State().m_format == LogFormat::kText) {
    line.append(prefix).append(": ").append(message);
    for (const LogField& field : fields) {
      line += ' ' + field.m_key + '=' + TextValue(field.m_value);
    }
    return line;
  }
  line.append("\"part\":\"").append(prefix).append("\",\"message\":\"");
  line += Escape(message) + '"';
  for (const LogField& field : fields) {
    line += ",\"" + field.m_key + "\":";
    line += field.m_number ? field.m_value : '"' + Escape(field.m_value) + '"';
  }
  return line;
}

}  // namespace

LogField::LogField(LogKey key, std::string_view value)
    : m_key(key.name()), m_value(value) {}
LogField::LogField(LogKey key, const char* value)
    : m_key(key.name()), m_value(value) {}
LogField::LogField(LogKey key, std::int64_t value)
    : m_key(key.name()), m_value(std::to_string(value)), m_number(true) {}
LogField::LogField(LogKey key, std::uint64_t value)
    : m_key(key.name()), m_value(std::to_string(value)), m_number(true) {}
LogField::LogField(LogKey key, int value)
    : m_key(key.name()), m_value(std::to_string(value)), m_number(true) {}
LogField::LogField(LogKey key, double value)
    : m_key(key.name()), m_value(std::to_string(value)), m_number(true) {}

void ConfigureLogs(LogLevel level, LogFormat format) {
  LogState& state = State();
  state.m_format = format;
  state.m_logger = std::make_shared<spdlog::logger>(
      "hickoryloft",
      std::make_shared<BoundedSink>(STDOUT_FILENO, [](std::uint64_t dropped) {
        return FormatLine("log",
                          "lines dropped: too long, or the reader "
                          "of the log is too slow",
                          {{"count", dropped}});
      }));
  state.m_logger->set_pattern(
      format == LogFormat::kText
          ? "%Y-%m-%d %H:%M:%S.%e %l %v"
          : "{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",\"level\":\"%l\",%v}",
      spdlog::pattern_time_type::utc);
  state.m_logger->set_level(ToSpdlog(level));
}

Logger::Logger(std::string prefix) : m_prefix(std::move(prefix)) {}

void Logger::Debug(std::string_view message,
                   std::initializer_list<LogField> fields) const {
  Write(LogLevel::kDebug, message, fields);
}
void Logger::Info(std::string_view message,
                  std::initializer_list<LogField> fields) const {
  Write(LogLevel::kInfo, message, fields);
}
void Logger::Warn(std::string_view message,
                  std::initializer_list<LogField> fields) const {
  Write(LogLevel::kWarn, message, fields);
}
void Logger::Error(std::string_view message,
                   std::initializer_list<LogField> fields) const {
  Write(LogLevel::kError, message, fields);
}

void Logger::Write(LogLevel level,
                   std::string_view message,
                   std::initializer_list<LogField> fields) const {
  LogState& state = State();
  const spdlog::level::level_enum spdlog_level = ToSpdlog(level);
  if (!state.m_logger->should_log(spdlog_level)) {
    return;
  }
  std::uint64_t dropped = 0;
  {
    const std::lock_guard lock(state.m_mutex);
    if (!state.m_line_limiter.Admit(message, MonotonicClock::now())) {
      return;
    }
    dropped = state.m_line_limiter.ConsumeDropped();
  }
  if (dropped > 0) {
    state.m_logger->log(
        spdlog_level,
        FormatLine("log", "lines dropped: a message exceeded the rate limit",
                   {{"count", dropped}}));
  }
  state.m_logger->log(spdlog_level, FormatLine(m_prefix, message, fields));
}

}  // namespace hickoryloft
