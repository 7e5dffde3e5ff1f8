// Callers that read slowly, and callers that are gone.

#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "base/peer_liveness.h"
#include "http/server.h"
#include "raw_caller.h"

using namespace hickoryloft;
using namespace hickoryloft::http;

namespace {

constexpr std::size_t kAnswerBytes = std::size_t{64} * 1024;
constexpr int kSmallBuffer = 4096;
// Longer than the silence after which a peer is considered gone.
constexpr Duration kPause = seconds(5);
constexpr Duration kLimit = seconds(12);
const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

// Starts an answer of kAnswerBytes for each request, and keeps it open.
struct OpenAnswers {
  EventLoop m_loop;
  std::shared_ptr<ServerExchange> m_open;
  std::atomic<bool> m_disconnected = false;
  Server m_server{m_loop, "127.0.0.1", 0,
                  [this](std::shared_ptr<ServerExchange> exchange) {
                    exchange->Watch([this] { m_disconnected = true; }, nullptr);
                    exchange->StartAnswer(200, {}, kAnswerBytes + 1);
                    exchange->SendBody(std::string(kAnswerBytes, 'x'));
                    m_open = std::move(exchange);
                  }};
};

std::size_t BodyBytes(const std::string& answer) {
  return answer.size() - answer.find("\r\n\r\n") - 4;
}

}  // namespace

// Guards against answers that are cut because their callers read slowly (LOST,
// review/12): a closed window is no sign that the peer is gone.
TEST_CASE("A caller that keeps its window closed for seconds loses nothing") {
  OpenAnswers answers;
  std::string got;
  Serve(
      answers.m_loop,
      [&] {
        RawCaller caller(answers.m_server.port(), kSmallBuffer);
        caller.Send(kGet);
        std::this_thread::sleep_for(kPause);
        answers.m_loop.Post([&] {
          answers.m_open->SendBody("y");
          answers.m_open->FinishAnswer();
        });
        got = caller.Read("y");
      },
      kLimit);
  CHECK(BodyBytes(got) == kAnswerBytes + 1);
  CHECK_FALSE(answers.m_disconnected);
}

// Guards against requests that run for callers that no longer exist: without
// acknowledgements, the system itself gives up after many minutes only.
TEST_CASE("A caller that vanishes with unread output is noticed in seconds") {
  const bool window_closed = GENERATE(false, true);
  CAPTURE(window_closed);
  OpenAnswers answers;
  Serve(
      answers.m_loop,
      [&] {
        RawCaller caller(answers.m_server.port(),
                         window_closed ? kSmallBuffer : 0);
        caller.Send(kGet);
        if (window_closed) {
          std::this_thread::sleep_for(milliseconds(100));
          caller.Vanish();
        } else {
          caller.Read(std::string(kAnswerBytes, 'x'));
          caller.Vanish();
          answers.m_loop.Post([&] { answers.m_open->SendBody("y"); });
        }
        for (int i = 0; i < 80 && !answers.m_disconnected; ++i) {
          std::this_thread::sleep_for(milliseconds(100));
        }
      },
      kLimit);
  CHECK(answers.m_disconnected);
}

namespace {

constexpr std::size_t kLargeAnswerBytes = std::size_t{8} * 1024 * 1024;
constexpr Duration kIdleTimeout = milliseconds(1200);

// Answers each request at once with a body of `bytes`.
struct WholeAnswers {
  WholeAnswers(std::size_t bytes, Duration idle_timeout, bool draining)
      : m_server(m_loop,
                 "127.0.0.1",
                 0,
                 [bytes](const std::shared_ptr<ServerExchange>& exchange) {
                   exchange->Answer(200, {}, std::string(bytes, 'x'));
                 }) {
    m_server.SetLimits({.m_idle_timeout = idle_timeout});
    if (draining) {
      m_server.BeginDrain();
    }
  }

  // Sends a request, then runs `script`, which returns what the caller reads.
  std::string Play(const std::function<std::string(RawCaller&)>& script,
                   int receive_buffer = kSmallBuffer) {
    std::string got;
    Serve(
        m_loop,
        [&] {
          RawCaller caller(m_server.port(), receive_buffer);
          caller.Send(kGet);
          got = script(caller);
        },
        kLimit);
    return got;
  }

  EventLoop m_loop;
  Server m_server;
};

}  // namespace

// Guards against answers that are lost without a trace in logs and metrics: the
// system ends the connection after the process has closed it (review/12).
TEST_CASE("A connection that ends with an unread answer is counted") {
  WholeAnswers answers(kLargeAnswerBytes, kLimit, /*draining=*/false);
  answers.Play(
      [](RawCaller& caller) {
        return caller.Read(std::string(kLargeAnswerBytes, 'x'));
      },
      /*receive_buffer=*/0);
  CHECK(answers.m_server.unread_answers() == 0);
  answers.Play([](RawCaller& caller) {
    std::this_thread::sleep_for(milliseconds(50));
    caller.Close();
    std::this_thread::sleep_for(milliseconds(50));
    return "";
  });
  CHECK(answers.m_server.unread_answers() == 1);
}

// Guards against answers that are lost when their callers send the next request
// while they read (LOST): a closed connection answers input with a reset, which
// takes what the system still holds with it.
TEST_CASE("A caller that sends while it reads its last answer loses nothing") {
  WholeAnswers answers(kAnswerBytes, kLimit, /*draining=*/true);
  const std::string got = answers.Play([](RawCaller& caller) {
    std::this_thread::sleep_for(milliseconds(2500));
    caller.Send(kGet);
    std::this_thread::sleep_for(milliseconds(100));
    return caller.Read();
  });
  CHECK(BodyBytes(got) == kAnswerBytes);
}

// Guards against last answers that are cut after a fixed time, although their
// callers go on reading (LOST).
TEST_CASE("A caller that reads for longer than the idle time loses nothing") {
  const bool draining = GENERATE(false, true);
  CAPTURE(draining);
  WholeAnswers answers(kLargeAnswerBytes, kIdleTimeout, draining);
  const std::string got = answers.Play([](RawCaller& caller) {
    std::string read;
    for (std::size_t share = 1; share <= 8; ++share) {
      std::this_thread::sleep_for(kIdleTimeout / 4);
      read += caller.Read("", share * kLargeAnswerBytes / 8 - read.size());
    }
    return read + caller.Read("", kLargeAnswerBytes);
  });
  CHECK(BodyBytes(got) == kLargeAnswerBytes);
  CHECK(answers.m_server.unread_answers() == 0);
}

// Guards against callers that hold connections and memory for ever.
TEST_CASE("A caller that reads nothing for the idle time is disconnected") {
  const bool draining = GENERATE(false, true);
  CAPTURE(draining);
  WholeAnswers answers(kLargeAnswerBytes, kIdleTimeout, draining);
  answers.Play([](RawCaller& /*caller*/) {
    std::this_thread::sleep_for(3 * kIdleTimeout);
    return "";
  });
  CHECK(answers.m_server.unread_answers() == 1);
  CHECK(answers.m_server.connections() == 0);
}

// Guards against answers on kept connections that a planned stop cuts: the
// answer is finished for the server, but not read by its caller (LOST).
TEST_CASE("A connection with unread output is not closed as idle") {
  WholeAnswers answers(kAnswerBytes, kLimit, /*draining=*/false);
  const std::string got = answers.Play([&](RawCaller& caller) {
    std::this_thread::sleep_for(2 * Server::kMinIdleTime);
    answers.m_loop.Post([&] {
      answers.m_server.BeginDrain();
      answers.m_server.CloseIdle();
    });
    std::this_thread::sleep_for(milliseconds(100));
    caller.Send(kGet);
    std::this_thread::sleep_for(milliseconds(100));
    return caller.Read();
  });
  CHECK(got.size() > 2 * kAnswerBytes);
}
