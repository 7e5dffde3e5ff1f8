#include "fleet/departures.h"

#include <catch2/catch.hpp>
#include <string>

using namespace hickoryloft;
using namespace hickoryloft::fleet;

namespace {

const EndpointId kId("e");
constexpr std::int64_t kStart = 7;
constexpr Duration kServiceTime = seconds(2);
constexpr MonotonicTime kSince{seconds(100)};

bool MayHaveFinished(const Departures& departures, MonotonicTime at) {
  return departures.MayHaveFinished(kId, kStart, at, kServiceTime);
}

}  // namespace

// The failure guarded against: the exit of an endpoint that has completed its
// last stream is taken for a crash (LOST, review/10), or the other way round
// (ORDER, review/3).
TEST_CASE("An exit without an announcement breaks requests off") {
  const Departures departures;
  CHECK_FALSE(MayHaveFinished(departures, kSince));
}

TEST_CASE("A registered departure owes its service time first") {
  Departures departures;
  departures.Record(kId, kStart, {.m_registered_after = kSince});
  CHECK_FALSE(
      MayHaveFinished(departures, kSince + kServiceTime - milliseconds(1)));
  CHECK(MayHaveFinished(departures, kSince + kServiceTime));
  CHECK(MayHaveFinished(departures, kSince + std::chrono::hours(1)));
}

TEST_CASE("A departure that is not known since when may be over") {
  Departures departures;
  SECTION("it was registered before this host read the registrations") {
    departures.Record(kId, kStart,
                      {.m_registered_after = MonotonicTime::min()});
  }
  SECTION("only answers announce it") {
    departures.Record(kId, kStart, {});
  }
  CHECK(MayHaveFinished(departures, kSince));
}

TEST_CASE("A notice that has run out ends what the endpoint runs") {
  Departures departures;
  SECTION("it outlasts the service time") {
    departures.Record(kId, kStart,
                      {.m_registered_after = kSince, .m_notice = seconds(5)});
    CHECK_FALSE(MayHaveFinished(departures, kSince + seconds(1)));
    CHECK(MayHaveFinished(departures, kSince + seconds(4)));
    CHECK_FALSE(MayHaveFinished(departures, kSince + seconds(5)));
  }
  SECTION("it is shorter than the service time") {
    departures.Record(kId, kStart,
                      {.m_registered_after = kSince, .m_notice = seconds(1)});
    CHECK_FALSE(MayHaveFinished(departures, kSince + milliseconds(500)));
    CHECK_FALSE(MayHaveFinished(departures, kSince + seconds(3)));
  }
  SECTION("it is not known since when it runs") {
    departures.Record(
        kId, kStart,
        {.m_registered_after = MonotonicTime::min(), .m_notice = seconds(5)});
    CHECK_FALSE(MayHaveFinished(departures, kSince));
  }
}

TEST_CASE("Repeated registrations do not postpone a departure") {
  Departures departures;
  departures.Record(kId, kStart, {.m_registered_after = kSince});
  departures.Record(kId, kStart, {});
  departures.Record(
      kId, kStart,
      {.m_registered_after = kSince + seconds(30), .m_notice = seconds(5)});
  CHECK(MayHaveFinished(departures, kSince + seconds(4)));
  CHECK_FALSE(MayHaveFinished(departures, kSince + seconds(5)));
}

TEST_CASE("A registration adds the time to a departure known by answers") {
  Departures departures;
  departures.Record(kId, kStart, {});
  departures.Record(kId, kStart, {.m_registered_after = kSince});
  CHECK_FALSE(MayHaveFinished(departures, kSince + seconds(1)));
}

TEST_CASE("A departure is that of one incarnation") {
  Departures departures;
  departures.Record(kId, kStart - 1,
                    {.m_registered_after = MonotonicTime::min()});
  CHECK_FALSE(MayHaveFinished(departures, kSince));
  departures.Record(kId, kStart, {.m_registered_after = MonotonicTime::min()});
  CHECK(MayHaveFinished(departures, kSince));
  departures.Record(kId, kStart - 1, {.m_notice = seconds(1)});
  CHECK(MayHaveFinished(departures, kSince));
}

TEST_CASE("The oldest departures are forgotten first") {
  Departures departures;
  departures.Record(kId, kStart, {});
  for (std::size_t i = 0; i < Departures::kMaxRecords; ++i) {
    CHECK(departures.IsLeaving(kId, kStart));
    departures.Record(EndpointId("x" + std::to_string(i)), kStart, {});
  }
  CHECK_FALSE(departures.IsLeaving(kId, kStart));
  CHECK(departures.IsLeaving(EndpointId("x0"), kStart));
}
