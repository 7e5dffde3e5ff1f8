#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Tests/actions/ledger_simulation.h"

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
std::uint64_t Recent(const LedgerSimulation& simulation, std::uint32_t number) {
  const std::uint64_t back = number % 6;
  return simulation.attempts() > back ? simulation.attempts() - back : 0;
}

void Apply(const Command& command, LedgerSimulation& simulation) {
  // One of the three newest holders.
  const std::size_t holder =
      simulation.holders() - 1 -
      std::min<std::size_t>(command.m_first % 3, simulation.holders() - 1);
  switch (command.m_step) {
    case Step::kBegin:
      simulation.Begin(holder, "key-" + std::to_string(command.m_second % 3),
                       command.m_second % 20 == 0 ? "other" : "digest");
      break;
    case Step::kRepeat:
      simulation.Repeat(holder, Recent(simulation, command.m_second));
      break;
    case Step::kGiveUp:
      simulation.GiveUp(holder, Recent(simulation, command.m_second));
      break;
    case Step::kReport:
      simulation.Report(holder, Recent(simulation, command.m_second));
      break;
    case Step::kStore:
      simulation.StepStore(holder, StoreFault::kNone);
      break;
    case Step::kStoreFault:
      simulation.StepStore(holder,
                           static_cast<StoreFault>(command.m_second % 5));
      break;
    case Step::kLateWrite:
      simulation.ApplyLateWrite();
      break;
    case Step::kAdvance:
      simulation.Advance(
          milliseconds(command.m_second % 5 == 0 ? command.m_first : 3));
      break;
    case Step::kTakeOver:
      simulation.TakeOver();
      break;
  }
}

void CheckAtMostOnce(const LedgerSimulation& simulation) {
  RC_ASSERT(simulation.faults().empty());
  for (const auto& [key, count] : simulation.executions()) {
    RC_ASSERT(count <= 1);
  }
}

TEST_CASE("a non-idempotent request runs at most once") {
  const bool held =
      rc::check("under takeovers, lost replies, late writes and repeats", [] {
        const auto commands = *rc::gen::resize(
            kHistoryLength,
            rc::gen::container<std::vector<Command>>(AnyCommand()));
        LedgerSimulation simulation;
        for (const Command& command : commands) {
          Apply(command, simulation);
          CheckAtMostOnce(simulation);
        }
        RC_CLASSIFY(!simulation.executions().empty(), "something ran");
        RC_CLASSIFY(simulation.executions().size() == 3, "all keys ran");
        // The next holder returns every recorded answer.
        simulation.TakeOver();
        simulation.Settle();
        for (const std::uint64_t attempt : simulation.recorded()) {
          simulation.RepeatRequest(attempt);
          RC_ASSERT(simulation.VerdictOf(simulation.attempts()) ==
                    BeginVerdict::kAnswered);
        }
        // Without faults the newest holder serves again.
        simulation.Settle();
        RC_ASSERT(simulation.newest().serving());
        simulation.Begin(simulation.holders() - 1, "fresh", "digest");
        simulation.Settle();
        CheckAtMostOnce(simulation);
        RC_ASSERT(simulation.VerdictOf(simulation.attempts()) ==
                  BeginVerdict::kRun);
      });
  REQUIRE(held);
}

TEST_CASE(
    "begins are refused at once during an outage of the key-value service") {
  LedgerSimulation simulation;
  simulation.Settle();
  simulation.Begin(0, "first", "digest");
  simulation.Advance(milliseconds(3));
  simulation.StepStore(0, StoreFault::kNoEffect);
  CHECK(simulation.VerdictOf(1) == BeginVerdict::kRefused);
  simulation.Begin(0, "second", "digest");
  CHECK(simulation.VerdictOf(2) == BeginVerdict::kRefused);
  simulation.Settle();
  simulation.Begin(0, "first", "digest");
  simulation.Settle();
  CHECK(simulation.VerdictOf(3) == BeginVerdict::kRun);
}

TEST_CASE("an action refused because its write was in doubt may run later") {
  LedgerSimulation simulation;
  simulation.Settle();
  simulation.Begin(0, "payout", "digest");
  simulation.Advance(milliseconds(3));
  simulation.StepStore(0, StoreFault::kLate);
  CHECK(simulation.VerdictOf(1) == BeginVerdict::kRefused);
  simulation.ApplyLateWrite();
  simulation.Settle();
  simulation.Begin(0, "payout", "digest");
  simulation.Settle();
  CHECK(simulation.VerdictOf(2) == BeginVerdict::kRun);
}

TEST_CASE("concurrent records share one write") {
  LedgerSimulation simulation;
  simulation.Settle();
  const std::size_t before = simulation.stored();
  for (int i = 0; i < 100; ++i) {
    simulation.Begin(0, std::to_string(i), "digest");
  }
  simulation.Settle();
  CHECK(simulation.executions().size() == 100);
  CHECK(simulation.stored() == before + 1);
}

TEST_CASE("an action without an end record is in progress, then unknown") {
  LedgerSimulation simulation;
  simulation.Settle();
  simulation.Begin(0, "payout", "digest");
  simulation.Settle();
  simulation.Begin(0, "payout", "digest");
  CHECK(simulation.VerdictOf(2) == BeginVerdict::kInProgress);
  simulation.Advance(seconds(60));
  simulation.Begin(0, "payout", "digest");
  CHECK(simulation.VerdictOf(3) == BeginVerdict::kUnknown);
  simulation.Begin(0, "payout", "other");
  CHECK(simulation.VerdictOf(4) == BeginVerdict::kMismatch);
}

TEST_CASE("a full shard refuses begins until old batches are deleted") {
  LedgerSimulation simulation(
      {.m_retention = seconds(100), .m_max_actions = 2});
  simulation.Settle();
  for (const char* key : {"a", "b", "c"}) {
    simulation.Begin(0, key, "digest");
  }
  simulation.Settle();
  CHECK(simulation.VerdictOf(3) == BeginVerdict::kRefused);
  const std::size_t before = simulation.stored();
  simulation.Advance(seconds(200));
  simulation.Settle();
  CHECK(simulation.stored() < before);
  simulation.Begin(0, "c", "digest");
  simulation.Settle();
  CHECK(simulation.VerdictOf(4) == BeginVerdict::kRun);
}

}  // namespace
}  // namespace hickoryloft::actions
