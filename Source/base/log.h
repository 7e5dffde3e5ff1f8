// Structured logs: a short sentence with a fixed prefix per part and key=value
// fields.

#ifndef SOURCE_BASE_LOG_H_
#define SOURCE_BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/log_fields.h"

namespace hickoryloft {

enum class LogLevel { kDebug, kInfo, kWarn, kError };
enum class LogFormat { kText, kJson };

// One key=value field of a log line. The key must be one of kLogFields, which
// the compiler checks.
struct LogField {
  LogField(LogKey key, std::string_view value);
  LogField(LogKey key, const char* value);
  LogField(LogKey key, std::int64_t value);
  LogField(LogKey key, std::uint64_t value);
  LogField(LogKey key, int value);
  LogField(LogKey key, double value);

  std::string m_key;
  std::string m_value;
  bool m_number = false;  // Written without quotes in JSON.
};

// Sets the level and format of every logger of this process, writing to
// standard output without ever waiting for its reader. Lines of one kind (the
// sentence) beyond a rate are dropped and counted. Call once, before any log.
void ConfigureLogs(LogLevel level, LogFormat format);

// Writes the lines of one part of the program. Never pass a key, a credential
// or a prompt. Thread-safe.
class Logger {
 public:
  // `prefix` is the part's fixed name, for example "claims".
  explicit Logger(std::string prefix);

  void Debug(std::string_view sentence,
             std::initializer_list<LogField> fields = {}) const;
  void Info(std::string_view sentence,
            std::initializer_list<LogField> fields = {}) const;
  void Warn(std::string_view sentence,
            std::initializer_list<LogField> fields = {}) const;
  void Error(std::string_view sentence,
             std::initializer_list<LogField> fields = {}) const;

 private:
  void Write(LogLevel level,
             std::string_view sentence,
             std::initializer_list<LogField> fields) const;

  std::string m_prefix;
};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_LOG_H_
