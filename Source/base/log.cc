#include "base/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <utility>

namespace hickoryloft {

namespace {

LogFormat g_format = LogFormat::kText;

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

// Escapes quotes, backslashes and control characters, so that a value cannot
// forge a line or a field.
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

}  // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : m_key(key), m_value(value) {}
LogField::LogField(std::string_view key, const char* value)
    : m_key(key), m_value(value) {}
LogField::LogField(std::string_view key, std::int64_t value)
    : m_key(key), m_value(std::to_string(value)) {}
LogField::LogField(std::string_view key, std::uint64_t value)
    : m_key(key), m_value(std::to_string(value)) {}
LogField::LogField(std::string_view key, int value)
    : m_key(key), m_value(std::to_string(value)) {}
LogField::LogField(std::string_view key, double value)
    : m_key(key), m_value(std::to_string(value)) {}

void ConfigureLogs(LogLevel level, LogFormat format) {
  g_format = format;
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      format == LogFormat::kText
          ? "%d{ISO8601} %-5p %m%n"
          : "{\"time\":\"%d{ISO8601}\",\"level\":\"%p\",%m}%n");
  const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(ToLog4cxx(level));
}

Logger::Logger(std::string prefix) : m_prefix(std::move(prefix)) {}

void Logger::Debug(std::string_view sentence,
                   std::initializer_list<LogField> fields) const {
  Write(LogLevel::kDebug, sentence, fields);
}
void Logger::Info(std::string_view sentence,
                  std::initializer_list<LogField> fields) const {
  Write(LogLevel::kInfo, sentence, fields);
}
void Logger::Warn(std::string_view sentence,
                  std::initializer_list<LogField> fields) const {
  Write(LogLevel::kWarn, sentence, fields);
}
void Logger::Error(std::string_view sentence,
                   std::initializer_list<LogField> fields) const {
  Write(LogLevel::kError, sentence, fields);
}

void Logger::Write(LogLevel level,
                   std::string_view sentence,
                   std::initializer_list<LogField> fields) const {
  const auto logger = log4cxx::Logger::getRootLogger();
  const auto log4cxx_level = ToLog4cxx(level);
  if (!logger->isEnabledFor(log4cxx_level)) {
    return;
  }
  std::string line;
  if (g_format == LogFormat::kText) {
    line = m_prefix + ": " + std::string(sentence);
    for (const LogField& field : fields) {
      line += ' ' + field.m_key + '=' + TextValue(field.m_value);
    }
  } else {
    line =
        "\"part\":\"" + m_prefix + "\",\"message\":\"" + Escape(sentence) + '"';
    for (const LogField& field : fields) {
      line += ",\"" + field.m_key + "\":\"" + Escape(field.m_value) + '"';
    }
  }
  logger->forcedLog(log4cxx_level, line);
}

}  // namespace hickoryloft
