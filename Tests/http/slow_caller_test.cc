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
