#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "Tests/limits/hoarding_entry.h"
#include "Tests/limits/share_fleet.h"

namespace hickoryloft::limits {
namespace {

enum class Step {
  kReserve,
  kRefund,
  kTick,
  kDeliver,
  kDeliverAll,
  kDuplicate,
  kDrop,
  kTimeOut,
  kAdvance,
  kTakeOver,
  kHandOver,
  kSetLimit,
  kDrain,
};

struct Command {
  Step m_step = Step::kTick;
  std::uint32_t m_first = 0;
  std::uint32_t m_second = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << static_cast<int>(command.m_step) << '(' << command.m_first
             << ',' << command.m_second << ')';
}

constexpr int kHistoryLength = 500;
// A share refills within the validity of a grant, so that a token counted twice
// exceeds the oracle's limit.
constexpr RateLimit kFastLimit{.m_tokens_per_second = 1600,
                               .m_burst_tokens = 400};
constexpr RateLimit kStartLimit{.m_tokens_per_second = 100,
                                .m_burst_tokens = 400};

rc::Gen<Command> AnyCommand() {
  const auto step = rc::gen::weightedElement<Step>({{6, Step::kReserve},
                                                    {1, Step::kRefund},
                                                    {3, Step::kTick},
                                                    {6, Step::kDeliver},
                                                    {4, Step::kDeliverAll},
                                                    {1, Step::kDuplicate},
                                                    {1, Step::kDrop},
                                                    {1, Step::kTimeOut},
                                                    {5, Step::kAdvance},
                                                    {1, Step::kTakeOver},
                                                    {1, Step::kHandOver},
                                                    {1, Step::kSetLimit},
                                                    {3, Step::kDrain}});
  return rc::gen::build<Command>(
      rc::gen::set(&Command::m_step, step),
      rc::gen::set(&Command::m_first, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Command::m_second, rc::gen::inRange(0U, 1000U)));
}

// Reserves all that the fleet can admit now, so that tokens in excess of the
// limit show as a negative level of the oracle.
template <typename Fleet>
void Drain(Fleet& fleet) {
  constexpr int kRounds = 6;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t entry = 0; entry < Fleet::kEntries; ++entry) {
      fleet.Reserve(entry, 60);
      fleet.Reserve(entry, 7);
      fleet.Tick(entry);
    }
    for (int i = 0; i < 16; ++i) {
      fleet.Deliver(0, false);
    }
    fleet.Advance(milliseconds(25));
  }
}

template <typename Fleet>
void Apply(const Command& command, Fleet& fleet) {
  const std::size_t entry = command.m_first % Fleet::kEntries;
  const std::size_t slot = command.m_first % Fleet::kSlots;
  switch (command.m_step) {
    case Step::kReserve:
      fleet.Reserve(entry, 1 + command.m_second % 120);
      break;
    case Step::kRefund:
      fleet.Refund(entry, 1 + command.m_second % 50);
      break;
    case Step::kTick:
      fleet.Tick(entry);
      break;
    case Step::kDeliver:
      fleet.Deliver(command.m_first, false);
      break;
    case Step::kDeliverAll:
      for (int i = 0; i < 8; ++i) {
        fleet.Deliver(0, false);
      }
      break;
    case Step::kDuplicate:
      fleet.Deliver(command.m_first, true);
      break;
    case Step::kDrop:
      fleet.Drop(command.m_first);
      break;
    case Step::kTimeOut:
      fleet.TimeOut(entry, command.m_second % Fleet::kSlots);
      break;
    case Step::kAdvance:
      fleet.Advance(milliseconds(command.m_second % 4 == 0
                                     ? 3 * command.m_first
                                     : command.m_first % 60));
      break;
    case Step::kTakeOver:
      fleet.TakeOver(slot);
      break;
    case Step::kHandOver:
      fleet.HandOver(slot);
      break;
    case Step::kSetLimit:
      // Only one in four, so that many histories keep one limit.
      if (command.m_first % 4 != 0) {
        break;
      }
      fleet.SetLimit({.m_tokens_per_second = 1.0 + 3 * command.m_first,
                      .m_burst_tokens = 2.0 + command.m_second});
      break;
    case Step::kDrain:
      Drain(fleet);
      break;
  }
}

// Runs a random history and compares every step with the oracle.
template <typename Bucket>
void CheckHistory() {
  using Fleet = ShareFleet<Bucket>;
  const auto commands = *rc::gen::resize(
      kHistoryLength, rc::gen::container<std::vector<Command>>(AnyCommand()));
  Fleet fleet(kFastLimit);
  fleet.Advance(seconds(5));
  for (const Command& command : commands) {
    Apply(command, fleet);
    RC_ASSERT(fleet.oracle().level() > -1e-6);
  }
  RC_CLASSIFY(fleet.admitted() > 1000);
}

TEST_CASE("admissions stay within rate and burst in every window") {
  REQUIRE(rc::check("with the daemons' entries", CheckHistory<EntryBucket>));
  REQUIRE(rc::check("with hoarding entries", CheckHistory<HoardingEntry>));
}

// Bounds the waste: a fleet that admits nothing would pass the test above.
TEST_CASE("a steady load below the rate is admitted completely") {
  using Fleet = ShareFleet<EntryBucket>;
  Fleet fleet(kStartLimit);
  fleet.Advance(seconds(10));
  constexpr std::uint64_t kTokens = 10;
  std::uint64_t asked = 0;
  for (int step = 0; step < 6000; ++step) {
    fleet.Advance(milliseconds(5));
    if (step % 21 == 0) {  // 95 tokens a second.
      fleet.Reserve(static_cast<std::size_t>(step / 21) % Fleet::kEntries,
                    kTokens);
      asked += kTokens;
    }
    for (std::size_t entry = 0; entry < Fleet::kEntries; ++entry) {
      fleet.Tick(entry);
    }
    while (fleet.messages() > 0) {
      fleet.Deliver(0, false);
    }
  }
  CHECK(fleet.admitted() == asked);
}

}  // namespace
}  // namespace hickoryloft::limits
