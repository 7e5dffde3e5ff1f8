// Time types shared by all packages.

#ifndef SOURCE_BASE_TIME_H_
#define SOURCE_BASE_TIME_H_

#include <time.h>

#include <chrono>

namespace hickoryloft {

// The clock behind every deadline, lease and rate. It never goes backwards, and
// unlike std::chrono::steady_clock it counts the time that a host is suspended,
// so that a lease cannot outlive a suspension. Thread-safe.
struct MonotonicClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // Named by the requirements on clocks.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};
using MonotonicTime = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns `duration` in whole milliseconds, rounded down. Thread-safe.
inline milliseconds ToMillis(Duration duration) {
  return std::chrono::floor<milliseconds>(duration);
}

// Returns `duration` as fractional seconds. Thread-safe.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns the duration nearest to `value` seconds. Thread-safe.
inline Duration FromSeconds(double value) {
  return duration_cast<Duration>(std::chrono::duration<double>(value));
}

}  // namespace hickoryloft

#endif  // SOURCE_BASE_TIME_H_
