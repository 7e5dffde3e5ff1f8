// A single-threaded event loop: timers, signals, and a queue of callbacks that
// other threads post.

#ifndef SOURCE_BASE_EVENT_LOOP_H_
#define SOURCE_BASE_EVENT_LOOP_H_

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/time.h"

struct event;
struct event_base;

namespace hickoryloft {

// A pending or periodic callback. Destroying it cancels the callback. Use on
// the loop's thread only.
class Timer {
 public:
  Timer(event_base* base,
        Duration interval,
        bool periodic,
        std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  static void OnFire(int fd, short what, void* self);

  std::function<void()> m_callback;
  event* m_event;
};

// Runs the callbacks of one task, which owns its sockets and its state. Call
// the methods on the loop's thread only, unless their comment says otherwise.
class EventLoop {
 public:
  // Makes the process ignore SIGPIPE. Throws Error(kIo) if the event library
  // cannot be initialized.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The underlying loop, for evhttp and bufferevents.
  event_base* base() const { return m_base; }

  MonotonicTime Now() const { return MonotonicClock::now(); }

  // Runs until Stop().
  void Run();
  void Stop();

  // Calls `callback` once after `delay`, unless the returned timer is destroyed
  // first.
  [[nodiscard]] std::unique_ptr<Timer> After(Duration delay,
                                             std::function<void()> callback);
  // Calls `callback` every `interval` until the returned timer is destroyed.
  [[nodiscard]] std::unique_ptr<Timer> Every(Duration interval,
                                             std::function<void()> callback);

  // Calls `callback` on the loop's thread, after the current callback returns.
  // Thread-safe.
  void Post(std::function<void()> callback);

  // Calls `callback` each time the process receives `signal_number`.
  void OnSignal(int signal_number, std::function<void()> callback);

 private:
  struct SignalHandler;

  static void OnWake(int fd, short what, void* self);
  void RunPosted();

  event_base* m_base;
  event* m_wake;
  std::mutex m_mutex;  // Guards m_posted.
  std::vector<std::function<void()>> m_posted;
  std::vector<std::unique_ptr<SignalHandler>> m_signals;
};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_EVENT_LOOP_H_
