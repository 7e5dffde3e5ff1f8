// HTTP client for a stand-in that runs on the same event loop.

#ifndef TESTS_STANDINS_STAND_IN_CLIENT_H_
#define TESTS_STANDINS_STAND_IN_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "Tests/keyvalue/test_loop.h"
#include "keyvalue/http_client.h"

namespace hickoryloft::test {

class StandInClient {
 public:
  StandInClient(EventLoop& loop,
                std::uint16_t port,
                Duration timeout = seconds(5))
      : m_loop(loop),
        m_http(
            loop,
            {.m_address = "127.0.0.1", .m_port = port, .m_timeout = timeout}) {}

  using Headers = std::vector<std::pair<std::string, std::string>>;

  Result<keyvalue::HttpReply> Post(const std::string& path,
                                   const nlohmann::json& body,
                                   const Headers& headers = {}) {
    return Await<keyvalue::HttpReply>(m_loop, [&](auto done) {
      m_http.Send({.m_path = path, .m_body = body.dump(), .m_headers = headers},
                  done);
    });
  }
  nlohmann::json Get(const std::string& path) {
    const auto reply = Await<keyvalue::HttpReply>(m_loop, [&](auto done) {
      m_http.Send({.m_method = keyvalue::HttpMethod::kGet, .m_path = path},
                  done);
    });
    return nlohmann::json::parse(reply.value().m_body);
  }
  // Reads `path` until `done` returns true for its JSON. Throws after 1000
  // reads.
  void Poll(const std::string& path,
            const std::function<bool(const nlohmann::json&)>& done) {
    constexpr int kMaxReads = 1000;
    for (int i = 0; i < kMaxReads; ++i) {
      if (done(Get(path))) {
        return;
      }
      RunFor(m_loop, milliseconds(5));
    }
    throw std::runtime_error(
        "expected state not reached within the maximum number of reads");
  }
  keyvalue::HttpClient& http() { return m_http; }

 private:
  EventLoop& m_loop;
  keyvalue::HttpClient m_http;
};

}  // namespace hickoryloft::test

#endif  // TESTS_STANDINS_STAND_IN_CLIENT_H_
