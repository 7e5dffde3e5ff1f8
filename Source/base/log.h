// Structured logs: each line has a prefix that names the component, a short
// message and key=value fields.

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

// One key=value field of a log line. The compiler checks that the key is one of
// kLogFields.
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

// Sets the level and format of every logger of this process. Lines are written
// to standard output without blocking on its reader. Lines with the same
// message are dropped and counted beyond a fixed rate. Call once, before any
// logging.
void ConfigureLogs(LogLevel level, LogFormat format);

// Writes the log lines of one component. Never log a key, a credential or a
// prompt. Thread-safe.
class Logger {
 public:
  // `prefix` is the fixed name of the component, for example "claims".
  explicit Logger(std::string prefix);

  void Debug(std::string_view message,
             std::initializer_list<LogField> fields = {}) const;
  void Info(std::string_view message,
            std::initializer_list<LogField> fields = {}) const;
  void Warn(std::string_view message,
            std::initializer_list<LogField> fields = {}) const;
  void Error(std::string_view message,
             std::initializer_list<LogField> fields = {}) const;

 private:
  void Write(LogLevel level,
             std::string_view message,
             std::initializer_list<LogField> fields) const;

  std::string m_prefix;
};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_LOG_H_
