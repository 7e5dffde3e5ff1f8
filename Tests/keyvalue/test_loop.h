// Helpers that run an event loop until a callback has been called.

#ifndef TESTS_KEYVALUE_TEST_LOOP_H_
#define TESTS_KEYVALUE_TEST_LOOP_H_

#include <functional>
#include <optional>
#include <stdexcept>
#include <utility>

#include "base/error.h"
#include "base/event_loop.h"

namespace hickoryloft::test {

// Runs `loop` until `done` returns true. Throws after `limit`.
inline void RunUntil(EventLoop& loop,
                     const std::function<bool()>& done,
                     Duration limit = seconds(10)) {
  bool late = false;
  const auto poll = loop.Every(milliseconds(1), [&] {
    if (done()) {
      loop.Stop();
    }
  });
  const auto end = loop.After(limit, [&] {
    late = true;
    loop.Stop();
  });
  loop.Run();
  if (late) {
    throw std::runtime_error("the awaited callback was not called in time");
  }
}

inline void RunFor(EventLoop& loop, Duration duration) {
  const auto end = loop.After(duration, [&] { loop.Stop(); });
  loop.Run();
}

// Starts an operation with a callback and returns the result that the callback
// received.
template <typename T>
Result<T> Await(EventLoop& loop,
                const std::function<void(std::function<void(Result<T>)>)>& op) {
  std::optional<Result<T>> result;
  op([&](Result<T> value) { result.emplace(std::move(value)); });
  RunUntil(loop, [&] { return result.has_value(); });
  return std::move(*result);
}

}  // namespace hickoryloft::test

#endif  // TESTS_KEYVALUE_TEST_LOOP_H_
