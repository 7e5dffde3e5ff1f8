#include "base/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "base/error.h"
#include "base/socket_options.h"

namespace hickoryloft {

namespace {

event_base* NewBase() {
  // A write to a socket that the peer has closed must return an error instead
  // of terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
  static const int kThreadsReady = evthread_use_pthreads();
  event_base* base = kThreadsReady == 0 ? event_base_new() : nullptr;
  if (base == nullptr) {
    throw Error(ErrorCode::kIo,
                "the event library found no usable event mechanism");
  }
  return base;
}

}  // namespace

Timer::Timer(event_base* base,
             Duration interval,
             bool periodic,
             std::function<void()> callback)
    : m_callback(std::move(callback)), m_event(nullptr) {
  const short flags = periodic ? EV_PERSIST : 0;
  m_event = event_new(base, -1, flags, &Timer::OnFire, this);
  const timeval delay = ToTimeval(interval);
  event_add(m_event, &delay);
}

Timer::~Timer() {
  event_free(m_event);
}

void Timer::OnFire(int /*fd*/, short /*what*/, void* self) {
  // Runs a copy, because the callback may destroy the timer.
  const auto callback = static_cast<Timer*>(self)->m_callback;
  callback();
}

struct EventLoop::SignalHandler {
  std::function<void()> m_callback;
  event* m_event = nullptr;

  ~SignalHandler() {
    if (m_event != nullptr) {
      event_free(m_event);
    }
  }
  static void OnFire(int /*fd*/, short /*what*/, void* self) {
    static_cast<SignalHandler*>(self)->m_callback();
  }
};

EventLoop::EventLoop()
    : m_base(NewBase()),
      m_wake(event_new(m_base, -1, EV_PERSIST, &EventLoop::OnWake, this)) {
  event_add(m_wake, nullptr);
}

EventLoop::~EventLoop() {
  m_signals.clear();
  event_free(m_wake);
  event_base_free(m_base);
}

void EventLoop::Run() {
  event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop() {
  event_base_loopbreak(m_base);
}

std::unique_ptr<Timer> EventLoop::After(Duration delay,
                                        std::function<void()> callback) {
  return std::make_unique<Timer>(m_base, delay, /*periodic=*/false,
                                 std::move(callback));
}

std::unique_ptr<Timer> EventLoop::Every(Duration interval,
                                        std::function<void()> callback) {
  return std::make_unique<Timer>(m_base, interval, /*periodic=*/true,
                                 std::move(callback));
}

void EventLoop::Post(std::function<void()> callback) {
  {
    const std::lock_guard lock(m_mutex);
    m_posted.push_back(std::move(callback));
  }
  event_active(m_wake, EV_TIMEOUT, 0);
}

void EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto handler = std::make_unique<SignalHandler>();
  handler->m_callback = std::move(callback);
  handler->m_event = event_new(m_base, signal_number, EV_SIGNAL | EV_PERSIST,
                               &SignalHandler::OnFire, handler.get());
  event_add(handler->m_event, nullptr);
  m_signals.push_back(std::move(handler));
}

void EventLoop::OnWake(int /*fd*/, short /*what*/, void* self) {
  static_cast<EventLoop*>(self)->RunPosted();
}

void EventLoop::RunPosted() {
  std::vector<std::function<void()>> posted;
  {
    const std::lock_guard lock(m_mutex);
    posted.swap(m_posted);
  }
  for (const auto& callback : posted) {
    callback();
  }
}

}  // namespace hickoryloft
