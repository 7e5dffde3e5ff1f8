#include "placement/store_concurrency.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::placement;

namespace {

// Keeps as many loads running as the limit allows, and returns the mean limit
// over the second half.
double Replay(StoreConcurrency& store, double serves, int loads) {
  const Duration nominal = seconds(6);
  const int skipped = loads / 2;
  double sum = 0;
  for (int i = 0; i < loads; ++i) {
    const int at_once = store.limit();
    const double slowdown = std::max(1.0, at_once / serves);
    store.RecordLoad(FromSeconds(ToSeconds(nominal) * slowdown), nominal,
                     at_once);
    sum += i >= skipped ? store.limit() : 0;
  }
  return sum / (loads - skipped);
}

}  // namespace

TEST_CASE("The limit converges to what the weight store serves") {
  for (const double serves : {1.0, 2.0, 4.0, 6.0, 9.0}) {
    StoreConcurrency store;
    const double limit = Replay(store, serves, 40);
    CHECK(limit >= serves * 0.9);
    CHECK(limit <= serves * 1.3 + 0.5);
  }
}

TEST_CASE("The limit follows a change of the store's speed") {
  StoreConcurrency store;
  Replay(store, 6, 20);
  CHECK(Replay(store, 2, 20) <= 3.1);
  CHECK(Replay(store, 6, 20) >= 5.4);
}

TEST_CASE("Loads below the limit do not change it") {
  StoreConcurrency store;
  for (int i = 0; i < 20; ++i) {
    store.RecordLoad(seconds(6), seconds(6), 1);
  }
  CHECK(store.limit() == StoreConcurrency::kInitialLimit);
}
