#include "limits/share_owner.h"

#include <catch2/catch.hpp>

namespace hickoryloft::limits {
namespace {

constexpr RateLimit kShare{.m_tokens_per_second = 10, .m_burst_tokens = 100};
constexpr std::uint64_t kBurst = 200;

MonotonicTime At(double time) {
  return MonotonicTime(FromSeconds(time));
}

ShareOwner FullOwner() {
  return {kShare, kBurst, 1, At(0), ShareState{.m_level = 100}};
}

TEST_CASE("a new owner without the previous state starts empty") {
  ShareOwner owner(kShare, kBurst, 1, At(0), std::nullopt);
  CHECK(owner.Level(At(1)) == 0);
  CHECK(owner.Level(At(2)) == Approx(9.5));
}

TEST_CASE("a repeated request gets the recorded reply") {
  ShareOwner owner = FullOwner();
  const TokenRequest request{.m_entry = "a", .m_tokens = 60, .m_sequence = 1};
  CHECK(owner.GrantTokens(request, At(0)).m_granted == 60);
  CHECK(owner.GrantTokens(request, At(0)).m_granted == 60);
  CHECK(owner.Level(At(0)) == 40);
}

TEST_CASE("the retry delay is the time until the share has the tokens") {
  ShareOwner owner = FullOwner();
  owner.GrantTokens({.m_entry = "a", .m_tokens = 100, .m_sequence = 1}, At(0));
  owner.GrantTokens(
      {.m_entry = "a", .m_spent = 100, .m_sequence = 2, .m_epoch = 1}, At(0));
  const auto reply = owner.GrantTokens(
      {.m_entry = "a", .m_tokens = 20, .m_sequence = 3}, At(0));
  CHECK(reply.m_granted == 0);
  CHECK(ToSeconds(reply.m_retry_after) == Approx(2.0));
  CHECK(owner.Level(At(0) + reply.m_retry_after) == Approx(20));
}

TEST_CASE("tokens returned after they expired are not credited") {
  ShareOwner owner = FullOwner();
  owner.GrantTokens({.m_entry = "a", .m_tokens = 100, .m_sequence = 1}, At(0));
  const double before = owner.Level(At(2));
  owner.GrantTokens(
      {.m_entry = "a", .m_returned = 100, .m_sequence = 2, .m_epoch = 1},
      At(2));
  CHECK(owner.Level(At(2)) == before);
}

TEST_CASE("a lower burst applies immediately") {
  ShareOwner owner = FullOwner();
  owner.SetLimit({.m_tokens_per_second = 1, .m_burst_tokens = 5}, 10, At(0));
  CHECK(owner.Level(At(0)) == 5);
}

}  // namespace
}  // namespace hickoryloft::limits
