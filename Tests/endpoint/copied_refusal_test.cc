// Copies of a refusal on connections that carry the refused request again.

#include <catch2/catch.hpp>
#include <string>

#include "scripted_endpoint.h"

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

namespace {

std::string Refusal(const std::string& id) {
  return "HTTP/1.1 503 Full\r\nRequest-Id: " + id +
         "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

// Regression test (REFUSED, TWICE): the copy of a refusal was taken for the
// answer to a later send of the same request, which ran.
TEST_CASE("A copied refusal does not answer a later send of its request") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_copies_answers = true;
  endpoint.m_scripts = {Refusal("r1"), Answer("r1", "done")};
  CHECK(Run(loop, client, endpoint, "r1").m_done);
  const Outcome second = Run(loop, client, endpoint, "r1");
  CHECK(second.m_heads == 1);
  CHECK(second.m_body == "done");
}

TEST_CASE("Other requests use the connection on which one was refused") {
  EventLoop loop;
  ScriptedEndpoint endpoint(loop);
  PooledHttpClient client(loop);
  endpoint.m_scripts = {Refusal("r1"), Answer("r2", "two"), Answer("r1", "one"),
                        Answer("r3", "three")};
  Run(loop, client, endpoint, "r1");
  CHECK(Run(loop, client, endpoint, "r2").m_body == "two");
  CHECK(endpoint.connections() == 1);
  CHECK(Run(loop, client, endpoint, "r1").m_body == "one");
  CHECK(endpoint.connections() == 2);
  CHECK(Run(loop, client, endpoint, "r3").m_body == "three");
  CHECK(endpoint.connections() == 2);
}
