#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Tests/actions/ledger_world.h"

namespace hickoryloft::actions {
namespace {

enum class Step {
  kBegin,
  kRepeat,
  kGiveUp,
  kReport,
  kStore,
  kStoreFault,
  kLateWrite,
  kAdvance,
  kTakeOver,
};

struct Command {
  Step m_step = Step::kBegin;
  std::uint32_t m_first = 0;
  std::uint32_t m_second = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << static_cast<int>(command.m_step) << '(' << command.m_first
             << ',' << command.m_second << ')';
}

constexpr int kHistoryLength = 400;

rc::Gen<Command> AnyCommand() {
  const auto step = rc::gen::weightedElement<Step>({{5, Step::kBegin},
                                                    {1, Step::kRepeat},
                                                    {2, Step::kGiveUp},
                                                    {2, Step::kReport},
                                                    {10, Step::kStore},
                                                    {3, Step::kStoreFault},
                                                    {1, Step::kLateWrite},
                                                    {5, Step::kAdvance},
                                                    {1, Step::kTakeOver}});
  return rc::gen::build<Command>(
      rc::gen::set(&Command::m_step, step),
      rc::gen::set(&Command::m_first, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Command::m_second, rc::gen::inRange(0U, 1000U)));
}

// Returns one of the last six attempts, so that commands often refer to an
// attempt that is still open.
std::uint64_t Recent(const LedgerWorld& world, std::uint32_t number) {
  const std::uint64_t back = number % 6;
  return world.attempts() > back ? world.attempts() - back : 0;
}

void Apply(const Command& command, LedgerWorld& world) {
  // One of the three newest holders.
  const std::size_t holder =
      world.holders() - 1 -
      std::min<std::size_t>(command.m_first % 3, world.holders() - 1);
  switch (command.m_step) {
    case Step::kBegin:
      world.Begin(holder, "key-" + std::to_string(command.m_second % 3),
                  command.m_second % 20 == 0 ? "other" : "digest");
      break;
    case Step::kRepeat:
      world.Repeat(holder, Recent(world, command.m_second));
      break;
    case Step::kGiveUp:
      world.GiveUp(holder, Recent(world, command.m_second));
      break;
    case Step::kReport:
      world.Report(holder, Recent(world, command.m_second));
      break;
    case Step::kStore:
      world.StepStore(holder, StoreFault::kNone);
      break;
    case Step::kStoreFault:
      world.StepStore(holder, static_cast<StoreFault>(command.m_second % 5));
      break;
    case Step::kLateWrite:
      world.LandLateWrite();
      break;
    case Step::kAdvance:
      world.Advance(
          milliseconds(command.m_second % 5 == 0 ? command.m_first : 3));
      break;
    case Step::kTakeOver:
      world.TakeOver();
      break;
  }
}

void CheckOracle(const LedgerWorld& world) {
  RC_ASSERT(world.faults().empty());
  for (const auto& [key, count] : world.executions()) {
    RC_ASSERT(count <= 1);
  }
}

TEST_CASE("a non-idempotent request runs at most once") {
  const bool held =
      rc::check("under takeovers, lost replies, late writes and repeats", [] {
        const auto commands = *rc::gen::resize(
            kHistoryLength,
            rc::gen::container<std::vector<Command>>(AnyCommand()));
        LedgerWorld world;
        for (const Command& command : commands) {
          Apply(command, world);
          CheckOracle(world);
        }
        RC_CLASSIFY(!world.executions().empty(), "something ran");
        RC_CLASSIFY(world.executions().size() == 3, "all keys ran");
        // The next holder returns every recorded answer.
        world.TakeOver();
        world.Settle();
        for (const std::uint64_t attempt : world.recorded()) {
          world.RepeatRequest(attempt);
          RC_ASSERT(world.VerdictOf(world.attempts()) ==
                    BeginVerdict::kAnswered);
        }
        // Without faults the newest holder serves again.
        world.Settle();
        RC_ASSERT(world.newest().serving());
        world.Begin(world.holders() - 1, "fresh", "digest");
        world.Settle();
        CheckOracle(world);
        RC_ASSERT(world.VerdictOf(world.attempts()) == BeginVerdict::kRun);
      });
  REQUIRE(held);
}

TEST_CASE(
    "begins are refused at once during an outage of the key-value service") {
  LedgerWorld world;
  world.Settle();
  world.Begin(0, "first", "digest");
  world.Advance(milliseconds(3));
  world.StepStore(0, StoreFault::kNoEffect);
  CHECK(world.VerdictOf(1) == BeginVerdict::kRefused);
  world.Begin(0, "second", "digest");
  CHECK(world.VerdictOf(2) == BeginVerdict::kRefused);
  world.Settle();
  world.Begin(0, "first", "digest");
  world.Settle();
  CHECK(world.VerdictOf(3) == BeginVerdict::kRun);
}

TEST_CASE("an action refused because its write was in doubt may run later") {
  LedgerWorld world;
  world.Settle();
  world.Begin(0, "payout", "digest");
  world.Advance(milliseconds(3));
  world.StepStore(0, StoreFault::kLate);
  CHECK(world.VerdictOf(1) == BeginVerdict::kRefused);
  world.LandLateWrite();
  world.Settle();
  world.Begin(0, "payout", "digest");
  world.Settle();
  CHECK(world.VerdictOf(2) == BeginVerdict::kRun);
}

TEST_CASE("concurrent records share one write") {
  LedgerWorld world;
  world.Settle();
  const std::size_t before = world.stored();
  for (int i = 0; i < 100; ++i) {
    world.Begin(0, std::to_string(i), "digest");
  }
  world.Settle();
  CHECK(world.executions().size() == 100);
  CHECK(world.stored() == before + 1);
}

TEST_CASE("an action without an end record is in progress, then unknown") {
  LedgerWorld world;
  world.Settle();
  world.Begin(0, "payout", "digest");
  world.Settle();
  world.Begin(0, "payout", "digest");
  CHECK(world.VerdictOf(2) == BeginVerdict::kInProgress);
  world.Advance(seconds(60));
  world.Begin(0, "payout", "digest");
  CHECK(world.VerdictOf(3) == BeginVerdict::kUnknown);
  world.Begin(0, "payout", "other");
  CHECK(world.VerdictOf(4) == BeginVerdict::kMismatch);
}

TEST_CASE("a full shard refuses begins until old batches are deleted") {
  LedgerWorld world({.m_retention = seconds(100), .m_max_actions = 2});
  world.Settle();
  for (const char* key : {"a", "b", "c"}) {
    world.Begin(0, key, "digest");
  }
  world.Settle();
  CHECK(world.VerdictOf(3) == BeginVerdict::kRefused);
  const std::size_t before = world.stored();
  world.Advance(seconds(200));
  world.Settle();
  CHECK(world.stored() < before);
  world.Begin(0, "c", "digest");
  world.Settle();
  CHECK(world.VerdictOf(4) == BeginVerdict::kRun);
}

}  // namespace
}  // namespace hickoryloft::actions
