#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <catch2/catch.hpp>

#include "Tests/entry/entry_fixture.h"
#include "base/socket_address.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

namespace {

// A caller that sends arbitrary bytes.
class RawCaller {
 public:
  RawCaller(EntryFixture& fixture, const std::string& bytes)
      : m_fixture(fixture),
        m_buffer(bufferevent_socket_new(fixture.m_loop.base(),
                                        -1,
                                        BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        m_buffer, nullptr, nullptr,
        [](bufferevent* /*buffer*/, short what, void* self) {
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<RawCaller*>(self)->m_closed = true;
          }
        },
        this);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
    const auto target =
        ParseSocketAddress("127.0.0.1", fixture.m_daemon->port());
    bufferevent_socket_connect(m_buffer, target.get(), target.size());
    Write(bytes);
  }
  ~RawCaller() { bufferevent_free(m_buffer); }

  void Write(const std::string& bytes) {
    bufferevent_write(m_buffer, bytes.data(), bytes.size());
  }
  std::string Received() const {
    evbuffer* input = bufferevent_get_input(m_buffer);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, text.data(), text.size());
    return text;
  }
  // Runs until a status line is received or the connection is closed, and
  // returns the status, or 0.
  int Status() {
    m_fixture.RunUntil([this] { return m_closed || Received().size() > 12; });
    const std::string text = Received();
    return text.size() > 12 ? std::stoi(text.substr(9, 3)) : 0;
  }
  bool closed() const { return m_closed; }

 private:
  EntryFixture& m_fixture;
  bufferevent* m_buffer;
  bool m_closed = false;
};

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

const std::string kAuthorized = "Authorization: Bearer " + kKey + "\r\n";

std::string ProblemTypeIn(const RawCaller& caller) {
  const std::string text = caller.Received();
  const std::string urn = "urn:hickoryloft:problem:";
  const std::size_t at = text.find(urn);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t start = at + urn.size();
  return text.substr(start, text.find('"', start) - start);
}

}  // namespace

TEST_CASE("Invalid requests get the right status and do not affect others") {
  struct Case {
    std::string m_bytes;
    int m_status;
    std::string m_type;
  };
  EntryFixture fixture(
      "limits.body_bytes = 4096\nlimits.header_bytes = 2048\n");
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const auto bystander = fixture.Start(fixture.Completion(true, 200));
  const std::string valid_body =
      R"({"model":"notes","prompt":"x","max_tokens":1})";
  const std::vector<Case> cases = {
      {"nonsense\r\n\r\n", 400, ""},
      {"GET / HTTP/1.1\r\nno colon here\r\n\r\n", 400, ""},
      {Post("X-Big: " + std::string(4000, 'x') + "\r\n", valid_body), 400, ""},
      {Post(kAuthorized, std::string(5000, 'x')), 413, ""},
      {Post("", valid_body), 401, "unauthenticated"},
      {Post("Authorization: Bearer wrong\r\n", valid_body), 401,
       "unauthenticated"},
      {Post(kAuthorized, "{not json"), 400, "bad-request"},
      {Post(kAuthorized, R"({"model":"nope","prompt":"x"})"), 404,
       "unknown-model"},
      {Post(kAuthorized, R"({"model":"notes:nope","prompt":"x"})"), 404,
       "unknown-model"},
      {Post(kAuthorized + kAuthorized, valid_body), 400, "conflicting-headers"},
      {Post(kAuthorized + "Content-Length: 3\r\n", valid_body), 400,
       "conflicting-headers"},
      {Post(kAuthorized + "X-Patience-Ms: soon\r\n", valid_body), 400,
       "bad-request"},
      {Post(kAuthorized + "X-Patience-Ms: -5\r\n", valid_body), 400,
       "bad-request"},
      {"GET /v1/completions HTTP/1.1\r\n\r\n", 404, "unknown-route"},
      {"GET /other HTTP/1.1\r\n\r\n", 404, "unknown-route"},
      {Post(kAuthorized, valid_body), 200, ""},
  };
  for (const Case& test : cases) {
    RawCaller caller(fixture, test.m_bytes);
    INFO(test.m_bytes.substr(0, 120));
    CHECK(caller.Status() == test.m_status);
    fixture.RunFor(milliseconds(5));
    CHECK(ProblemTypeIn(caller) == test.m_type);
  }
  fixture.RunUntil([&] { return bystander->ended(); });
  CHECK(bystander->m_body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE(
    "A request that arrives too slowly is closed, an idle connection is not") {
  EntryFixture fixture("limits.header_timeout_ms = 300\n");
  RawCaller idle(fixture, "");
  RawCaller slow(fixture, "GET /healthz HTTP/1.1\r\n");
  const MonotonicTime start = fixture.m_loop.Now();
  while (!slow.closed() && fixture.m_loop.Now() - start < seconds(5)) {
    slow.Write("X");
    fixture.RunFor(milliseconds(20));
  }
  CHECK(slow.closed());
  CHECK(fixture.m_loop.Now() - start < seconds(2));
  CHECK(slow.Status() == 408);
  CHECK(ProblemTypeIn(slow) == "request-timeout");
  CHECK_FALSE(idle.closed());
  idle.Write("GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(idle.Status() == 200);
}

TEST_CASE("Pipelined requests are answered in order") {
  EntryFixture fixture;
  fixture.LoadModel(fixture.m_engine1);
  fixture.PublishEndpoints({&fixture.m_engine1});
  const std::string body =
      R"({"model":"notes","prompt":"x","max_tokens":3,"stream":true})";
  RawCaller caller(fixture, Post(kAuthorized, body) +
                                "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.RunUntil(
      [&] { return caller.Received().find("ok\n") != std::string::npos; });
  const std::string text = caller.Received();
  CHECK(text.find("[DONE]") < text.find("ok\n"));
}

TEST_CASE("Connections above the limit wait until others are closed") {
  EntryFixture fixture("limits.connections = 8\n");
  constexpr int kCallers = 12;
  std::vector<std::unique_ptr<RawCaller>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawCaller>(
        fixture, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"));
  }
  fixture.RunFor(milliseconds(100));
  CHECK(callers.back()->Received().empty());
  callers.erase(callers.begin(), callers.begin() + 6);
  fixture.RunUntil([&] { return !callers.back()->Received().empty(); });
  CHECK(callers.back()->Status() == 200);
}
