#include "base/event_loop.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace hickoryloft;

TEST_CASE("A destroyed timer does not fire") {
  EventLoop loop;
  bool fired = false;
  auto cancelled = loop.After(milliseconds(1), [&] { fired = true; });
  cancelled.reset();
  const auto stop = loop.After(milliseconds(20), [&] { loop.Stop(); });
  loop.Run();
  CHECK_FALSE(fired);
}

TEST_CASE("A timer may destroy itself from its callback") {
  EventLoop loop;
  std::unique_ptr<Timer> timer;
  int count = 0;
  timer = loop.Every(milliseconds(1), [&] {
    ++count;
    timer.reset();
    loop.Post([&] { loop.Stop(); });
  });
  loop.Run();
  CHECK(count == 1);
}

TEST_CASE("Callbacks posted by another thread run on the loop in order") {
  EventLoop loop;
  std::vector<int> order;
  std::thread poster([&] {
    for (int i = 0; i < 100; ++i) {
      loop.Post([&order, i] { order.push_back(i); });
    }
    loop.Post([&] { loop.Stop(); });
  });
  loop.Run();
  poster.join();
  REQUIRE(order.size() == 100);
  CHECK(std::is_sorted(order.begin(), order.end()));
}
