#include "StandIns/jarro_store.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace hickoryloft;
using namespace hickoryloft::standins;

namespace {

// Counts the answers to one request.
class RecordedExchange : public http::ServerExchange {
 public:
  explicit RecordedExchange(http::ServerRequest request)
      : m_request(std::move(request)) {}

  const http::ServerRequest& request() const override { return m_request; }
  void SetLogId(const std::string& /*id*/) override {}
  void Answer(int /*status*/,
              const http::HeaderFields& /*headers*/,
              std::string_view /*body*/) override {
    ++m_answers;
  }
  void StartAnswer(int /*status*/,
                   const http::HeaderFields& /*headers*/,
                   std::optional<std::uint64_t> /*length*/) override {}
  void SendBody(std::string_view /*bytes*/) override {}
  void FinishAnswer() override {}
  void Abort() override {}
  std::size_t PendingBytes() const override { return 0; }
  bool open() const override { return true; }
  void Watch(std::function<void()> /*on_disconnect*/,
             std::function<void()> /*on_drained*/) override {}

  int m_answers = 0;

 private:
  http::ServerRequest m_request;
};

}  // namespace

// Guards against a crash of the stand-in (process_jarro,
// test_placement_leader_crash): a lease that expired in the same turn of the
// loop as a watch's wait found the watch that had just been answered.
TEST_CASE("A watch is answered once when a change follows its wait at once") {
  EventLoop loop;
  JarroStore store(loop);
  const auto watch = std::make_shared<RecordedExchange>(http::ServerRequest{
      .m_method = "GET",
      .m_target = "/-/kv-watch?pathPrefix=&after=0&waitMs=20"});
  store.Handle(watch);
  // Due in the same turn of the loop, after the end of the wait.
  const auto change =
      loop.After(milliseconds(21), [&] { store.Put("key", "value"); });
  const auto end = loop.After(milliseconds(100), [&] { loop.Stop(); });
  std::this_thread::sleep_for(milliseconds(40));
  loop.Run();
  CHECK(watch->m_answers == 1);
}
