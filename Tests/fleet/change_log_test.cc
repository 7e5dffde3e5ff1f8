#include "fleet/change_log.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::fleet;

namespace {

keyvalue::WatchEvent Event(Revision revision, std::size_t bytes = 8) {
  return {.m_item = {.m_key = "k" + std::to_string(revision),
                     .m_value = std::string(bytes, 'v'),
                     .m_mod_revision = revision}};
}

keyvalue::WatchBatch Batch(Revision to,
                           const std::vector<Revision>& revisions) {
  keyvalue::WatchBatch batch{.m_revision = to};
  for (const Revision revision : revisions) {
    batch.m_events.push_back(Event(revision));
  }
  return batch;
}

}  // namespace

TEST_CASE("A host receives the changes it is missing") {
  ChangeLog log;
  log.Append(10, Batch(14, {11, 12, 12}));
  log.Append(14, Batch(20, {16}));
  const auto all = log.Since(10);
  REQUIRE(all);
  CHECK(all->m_from == 10);
  CHECK(all->m_to == 20);
  CHECK(all->m_events.size() == 4);
  CHECK(log.Since(14)->m_events.size() == 1);
  CHECK(log.Since(12)->m_events.size() == 1);
  CHECK(log.Since(17)->m_events.empty());
  CHECK_FALSE(log.Since(20));
  CHECK_FALSE(log.Since(9));
}

TEST_CASE("A gap between batches clears the log") {
  ChangeLog log;
  log.Append(10, Batch(14, {11}));
  log.Append(30, Batch(31, {31}));
  CHECK_FALSE(log.Since(10));
  CHECK_FALSE(log.Since(14));
  CHECK(log.Since(30)->m_events.size() == 1);
}

TEST_CASE("The log keeps whole revisions within its byte limit") {
  ChangeLog log;
  Revision at = 0;
  for (int i = 0; i < 100; ++i) {
    keyvalue::WatchBatch batch{.m_revision = at + 1};
    batch.m_events = {Event(at + 1, 4000), Event(at + 1, 4000)};
    log.Append(at, batch);
    ++at;
  }
  CHECK_FALSE(log.Since(0));
  const auto last = log.Since(at - 1);
  REQUIRE(last);
  CHECK(last->m_events.size() == 2);
}

// A configuration with hundreds of models would saturate the link of a small
// host that forwards it to its group.
TEST_CASE("A large change must be read from the service") {
  ChangeLog log;
  keyvalue::WatchBatch batch{.m_revision = 13};
  batch.m_events = {Event(11), Event(12, ChangeLog::kMaxValueBytes + 1),
                    Event(13)};
  log.Append(10, batch);
  const auto before = log.Since(10);
  REQUIRE(before);
  CHECK(before->m_to == 11);
  CHECK(before->m_events.size() == 1);
  CHECK(before->m_read_from_service);
  CHECK(log.Since(11)->m_read_from_service);
  CHECK(log.Since(11)->m_to == 11);
  const auto after = log.Since(12);
  REQUIRE(after);
  CHECK_FALSE(after->m_read_from_service);
  CHECK(after->m_to == 13);
}
