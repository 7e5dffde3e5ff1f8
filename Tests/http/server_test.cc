#include "http/server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "raw_caller.h"

using namespace hickoryloft;
using namespace hickoryloft::http;

namespace {

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_CASE("Pipelined requests are answered in order, one at a time") {
  EventLoop loop;
  std::vector<std::string> bodies;
  Server server(loop, "127.0.0.1", 0,
                [&](const std::shared_ptr<ServerExchange>& exchange) {
                  bodies.push_back(exchange->request().m_body);
                  exchange->Answer(200, {}, "<" + bodies.back() + ">");
                });
  std::string got;
  Serve(loop, [&] {
    RawCaller caller(server.port());
    caller.Send(
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
        "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n"
        "0\r\n\r\n");
    got = caller.Read("<two>");
  });
  CHECK(bodies == std::vector<std::string>{"one", "two"});
  CHECK(got.find("<one>") < got.find("<two>"));
}

TEST_CASE(
    "Input that violates a limit is rejected without calling the handler") {
  struct Case {
    std::string m_input;
    std::string m_status;
  };
  const auto tested = GENERATE(
      Case{"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n", " 413 "},
      Case{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" +
               std::string(64, 'x') + "\r\n0\r\n\r\n",
           " 413 "},
      Case{"GET /" + std::string(4000, 'a') + " HTTP/1.1\r\n\r\n", " 431 "},
      Case{"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
           "chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
           " 400 "},
      Case{"GET /slow HTT", " 408 "});
  EventLoop loop;
  int handled = 0;
  Server server(loop, "127.0.0.1", 0,
                [&](const std::shared_ptr<ServerExchange>& exchange) {
                  ++handled;
                  exchange->Answer(200, {}, "");
                });
  server.SetLimits({.m_max_head_bytes = 1024,
                    .m_max_body_bytes = 32,
                    .m_head_timeout = milliseconds(200),
                    .m_idle_timeout = seconds(2)});
  std::string got;
  Serve(loop, [&] {
    RawCaller caller(server.port());
    caller.Send(tested.m_input);
    got = caller.Read();
  });
  CHECK(got.find(tested.m_status) != std::string::npos);
  CHECK(handled == 0);
}

TEST_CASE("The handler is notified if the caller disconnects early") {
  EventLoop loop;
  std::shared_ptr<ServerExchange> open;
  std::atomic<bool> arrived = false;
  bool disconnected = false;
  Server server(loop, "127.0.0.1", 0,
                [&](std::shared_ptr<ServerExchange> exchange) {
                  exchange->Watch([&] { disconnected = true; }, nullptr);
                  open = std::move(exchange);
                  arrived = true;
                });
  Serve(loop, [&] {
    RawCaller caller(server.port());
    caller.Send(kGet);
    while (!arrived) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    caller.Close();
    std::this_thread::sleep_for(milliseconds(50));
  });
  CHECK(disconnected);
  CHECK_FALSE(open->open());
  open->Answer(200, {}, "too late");  // Must have no effect.
}

TEST_CASE("An aborted response does not look complete") {
  EventLoop loop;
  Server server(loop, "127.0.0.1", 0,
                [&](const std::shared_ptr<ServerExchange>& exchange) {
                  exchange->StartAnswer(200, {}, std::nullopt);
                  exchange->SendBody("data: 1\n\n");
                  loop.Post([exchange] { exchange->Abort(); });
                });
  std::string got;
  Serve(loop, [&] {
    RawCaller caller(server.port());
    caller.Send(kGet);
    got = caller.Read();
  });
  CHECK(got.find("0\r\n\r\n") == std::string::npos);
}

// Guards against broken streams that callers receive as complete (ORDER): the
// end of the connection is all that a caller without chunks sees.
TEST_CASE(
    "A caller of HTTP/1.0 can tell an aborted response from a whole one") {
  for (const bool aborted : {false, true}) {
    EventLoop loop;
    Server server(loop, "127.0.0.1", 0,
                  [&](const std::shared_ptr<ServerExchange>& exchange) {
                    exchange->StartAnswer(200, {}, std::nullopt);
                    exchange->SendBody("data: 1\n\n");
                    loop.Post([exchange, aborted] {
                      aborted ? exchange->Abort() : exchange->FinishAnswer();
                    });
                  });
    std::string got;
    bool reset = false;
    Serve(loop, [&] {
      RawCaller caller(server.port());
      caller.Send(
          "GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
      got = caller.Read();
      reset = caller.reset();
    });
    CAPTURE(aborted, got);
    CHECK(reset == aborted);
    CHECK(got.find("chunked") == std::string::npos);
    if (!aborted) {
      CHECK(got.find("Connection: close\r\n\r\ndata: 1\n\n") !=
            std::string::npos);
    }
  }
}

// Guards against a truncated last response: a planned stop closes idle
// connections while a slow caller may still be reading.
TEST_CASE("A drain does not truncate a response that is still being read") {
  constexpr std::size_t kAnswerBytes = std::size_t{8} * 1024 * 1024;
  EventLoop loop;
  Server server(loop, "127.0.0.1", 0,
                [&](const std::shared_ptr<ServerExchange>& exchange) {
                  exchange->StartAnswer(200, {}, kAnswerBytes);
                  server.BeginDrain();
                  exchange->SendBody(std::string(kAnswerBytes, 'x'));
                  exchange->FinishAnswer();
                });
  const auto closer = loop.Every(milliseconds(5), [&] { server.CloseIdle(); });
  std::string got;
  Serve(loop, [&] {
    RawCaller caller(server.port(), /*receive_buffer=*/4096);
    caller.Send(kGet);
    std::this_thread::sleep_for(milliseconds(100));
    got = caller.Read();
  });
  const std::size_t body = got.find("\r\n\r\n") + 4;
  CHECK(got.size() - body == kAnswerBytes);
}

// Guards against a connection that a planned stop closes between its start and
// the arrival of its request: the caller cannot tell whether that has run.
TEST_CASE("A new connection is not closed before its request arrives") {
  EventLoop loop;
  Server server(loop, "127.0.0.1", 0,
                [&](const std::shared_ptr<ServerExchange>& exchange) {
                  exchange->Answer(503, {}, "");
                });
  server.BeginDrain();
  const auto closer = loop.Every(milliseconds(5), [&] { server.CloseIdle(); });
  std::string got;
  std::string got_without_request = "nothing read";
  bool reset = true;
  bool closed = false;
  Serve(loop, [&] {
    RawCaller without_request(server.port());
    RawCaller caller(server.port());
    std::this_thread::sleep_for(milliseconds(100));
    caller.Send(kGet);
    got = caller.Read();
    reset = caller.reset();
    got_without_request = without_request.Read();
    closed = !without_request.reset();
  });
  CHECK(got.find("HTTP/1.1 503") == 0);
  CHECK_FALSE(reset);
  CHECK(got_without_request.empty());
  CHECK(closed);
}

namespace {

constexpr std::size_t kBodyLimit = std::size_t{800} * 1024;

// A server that holds the requests to /hold and answers the others.
struct BodyServer {
  BodyServer() {
    m_server.SetLimits(
        {.m_max_body_bytes = kBodyLimit, .m_max_total_body_bytes = kBodyLimit});
  }

  EventLoop m_loop;
  std::vector<std::shared_ptr<ServerExchange>> m_held;
  Server m_server{m_loop, "127.0.0.1", 0,
                  [this](const std::shared_ptr<ServerExchange>& exchange) {
                    if (exchange->request().m_target == "/hold") {
                      m_held.push_back(exchange);
                    } else {
                      exchange->Answer(200, {}, "done");
                    }
                  }};
};

std::string Post(const std::string& target, std::size_t size) {
  return "POST " + target +
         " HTTP/1.1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
         std::string(size, 'x');
}

}  // namespace

// Guards against a host that the bodies of its callers take over its memory
// (Fault, review/9).
TEST_CASE("A body beyond the memory for all bodies is rejected unread") {
  BodyServer server;
  std::string large;
  std::string chunked;
  std::string small;
  std::string never;
  std::string after;
  Serve(server.m_loop, [&] {
    RawCaller holder(server.m_server.port());
    holder.Send(Post("/hold", 600 * 1024));
    RawCaller second(server.m_server.port());
    // Only the head: the answer does not wait for the body.
    second.Send(
        "POST /b HTTP/1.1\r\nContent-Length: 204800\r\nExpect: "
        "100-continue\r\n\r\n");
    large = second.Read();
    RawCaller third(server.m_server.port());
    third.Send(
        "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" +
        std::string(0x20000, 'x'));
    chunked = third.Read();
    RawCaller fourth(server.m_server.port());
    fourth.Send(Post("/b", 1000));
    small = fourth.Read("done");
    RawCaller fifth(server.m_server.port());
    fifth.Send("POST /b HTTP/1.1\r\nContent-Length: 810000\r\n\r\n");
    never = fifth.Read();
    holder.Close();
    RawCaller sixth(server.m_server.port());
    std::this_thread::sleep_for(milliseconds(100));
    sixth.Send(Post("/b", 600 * 1024));
    after = sixth.Read("done");
  });
  CHECK(large.starts_with("HTTP/1.1 503"));
  CHECK(large.find("Retry-After: 1") != std::string::npos);
  CHECK(chunked.starts_with("HTTP/1.1 503"));
  CHECK(small.starts_with("HTTP/1.1 200"));
  CHECK(never.starts_with("HTTP/1.1 413"));
  CHECK(after.starts_with("HTTP/1.1 200"));
  CHECK(server.m_server.bodies_rejected() == 3);
  CHECK(server.m_server.body_bytes() == 0);
}

TEST_CASE("A body that fits into no memory gets 413") {
  BodyServer server;
  server.m_server.SetLimits({.m_max_body_bytes = 2 * kBodyLimit,
                             .m_max_total_body_bytes = kBodyLimit});
  std::string got;
  Serve(server.m_loop, [&] {
    RawCaller caller(server.m_server.port());
    caller.Send("POST /b HTTP/1.1\r\nContent-Length: 819201\r\n\r\n");
    got = caller.Read();
  });
  CHECK(got.starts_with("HTTP/1.1 413"));
}

TEST_CASE("Every way in which a request ends releases its body") {
  BodyServer server;
  const int end = GENERATE(range(0, 4));
  CAPTURE(end);
  Serve(server.m_loop, [&] {
    RawCaller caller(server.m_server.port());
    if (end == 0) {  // The caller leaves while it sends.
      caller.Send(Post("/hold", 100000).substr(0, 50000));
      std::this_thread::sleep_for(milliseconds(50));
      return;
    }
    caller.Send(Post("/hold", 100000));
    std::this_thread::sleep_for(milliseconds(50));
    if (end == 1) {  // It leaves while the request runs.
      return;
    }
    server.m_loop.Post([&] {
      if (end == 2) {
        server.m_held.at(0)->Abort();
      } else {
        server.m_held.at(0)->StartAnswer(200, {}, std::nullopt);
        server.m_held.at(0)->FinishAnswer();
      }
    });
    std::this_thread::sleep_for(milliseconds(50));
  });
  Serve(server.m_loop, [] { std::this_thread::sleep_for(milliseconds(50)); });
  CHECK(server.m_server.body_bytes() == 0);
}

// Guards against an answer that is cut because its caller reads slowly during a
// planned stop (LOST).
TEST_CASE("A caller that reads slowly gets its whole last answer") {
  constexpr std::size_t kAnswerBytes = std::size_t{6} * 1024 * 1024;
  EventLoop loop;
  Server server(loop, "127.0.0.1", 0,
                [&](const std::shared_ptr<ServerExchange>& exchange) {
                  exchange->Answer(200, {}, std::string(kAnswerBytes, 'x'));
                });
  server.BeginDrain();
  std::string got;
  Serve(loop, [&] {
    RawCaller caller(server.port(), 4096);
    caller.Send(kGet);
    std::this_thread::sleep_for(milliseconds(1500));
    got = caller.Read();
  });
  CHECK(got.size() > kAnswerBytes);
}
