#include "claims/lease_clock.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "claims/claim_record.h"

using namespace hickoryloft;
using namespace hickoryloft::claims;

TEST_CASE("A lease is counted from the send of its acknowledged renewal") {
  const MonotonicTime start{seconds(100)};
  LeaseClock clock(seconds(6), milliseconds(500));
  CHECK_FALSE(clock.ValidAt(start));
  clock.OnAcknowledged(start);
  CHECK(clock.ValidAt(start + milliseconds(5499)));
  CHECK_FALSE(clock.ValidAt(start + milliseconds(5500)));
  // A delayed acknowledgement of an older renewal doesn't shorten the validity.
  clock.OnAcknowledged(start - seconds(2));
  CHECK(clock.valid_until() == start + milliseconds(5500));
  clock.OnLost();
  CHECK_FALSE(clock.ValidAt(start));
}

TEST_CASE("A claim record is parsed back as it was formatted") {
  const ClaimRecord record{.m_holder = HostId("a"),
                           .m_incarnation = ~Incarnation{0},
                           .m_nonce = 7,
                           .m_lease = 8,
                           .m_successor = HostId("b"),
                           .m_successor_lease = 9,
                           .m_fence = 10};
  CHECK(ParseClaimRecord(FormatClaimRecord(record)) == record);
  CHECK_THROWS_AS(ParseClaimRecord("{}"), Error);
  CHECK_THROWS_AS(ParseClaimRecord("no JSON"), Error);
}
