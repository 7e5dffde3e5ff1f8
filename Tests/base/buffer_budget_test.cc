#include "base/buffer_budget.h"

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"

using namespace hickoryloft;

namespace {

constexpr std::size_t kLimit = 1000;

// A buffer that is destroyed when it is ended.
struct Answer {
  Answer(BufferBudget& budget, const std::string& peer) {
    m_buffer.emplace(budget, peer, [this](const BufferBudget::Excess& excess) {
      m_excess = excess;
      m_buffer.reset();
    });
  }
  void Grow(std::size_t bytes) {
    if (m_buffer) {
      m_bytes += bytes;
      m_buffer->Resize(m_bytes);
    }
  }
  bool ended() const { return !m_buffer; }

  std::optional<BufferBudget::Buffer> m_buffer;
  std::optional<BufferBudget::Excess> m_excess;
  std::size_t m_bytes = 0;
};

}  // namespace

// Each answer was bounded, but not their sum: a faulty server that sent without
// end to many requests at once used up the memory of the host (issue 37).
TEST_CASE("Buffers that grow without end stay within the limit together") {
  BufferBudget budget(kLimit);
  std::vector<std::unique_ptr<Answer>> answers(150);
  for (auto& answer : answers) {
    answer = std::make_unique<Answer>(budget, "faulty");
  }
  for (int round = 0; round < 100; ++round) {
    for (const auto& answer : answers) {
      answer->Grow(10);
      REQUIRE(budget.bytes() <= kLimit);
    }
  }
  CHECK(budget.ended() > 0);
  answers.clear();
  CHECK(budget.bytes() == 0);
}

// Answers of sound servers must not be ended in place of the endless ones, even
// if they are older or larger than each of these.
TEST_CASE("The buffers of the peer that uses most are ended first") {
  BufferBudget budget(kLimit);
  Answer sound(budget, "sound");
  sound.Grow(300);
  std::vector<std::unique_ptr<Answer>> endless(40);
  for (auto& answer : endless) {
    answer = std::make_unique<Answer>(budget, "faulty");
  }
  for (int round = 0; round < 50; ++round) {
    for (const auto& answer : endless) {
      answer->Grow(10);
    }
    sound.Grow(2);
  }
  CHECK_FALSE(sound.ended());
  CHECK(budget.ended() > 30);
}

TEST_CASE("A buffer of known final size outlasts those of unknown size") {
  BufferBudget budget(kLimit);
  Answer sized(budget, "a");
  sized.m_buffer->SetFinalSizeKnown();
  sized.Grow(900);
  Answer unsized(budget, "b");
  unsized.Grow(150);
  CHECK_FALSE(sized.ended());
  REQUIRE(unsized.ended());
  CHECK(unsized.m_excess->m_bytes == 150);
  CHECK(unsized.m_excess->m_limit == kLimit);
  // Nothing else is left to end.
  sized.Grow(200);
  CHECK(sized.ended());
  CHECK(budget.bytes() == 0);
}

TEST_CASE("Counts stay exact over growing, shrinking and ended buffers") {
  BufferBudget budget(kLimit);
  RandomEngine random(7);
  std::uniform_int_distribution<int> pick(0, 19);
  std::uniform_int_distribution<int> size(0, 200);
  std::array<std::unique_ptr<Answer>, 20> answers;
  for (int step = 0; step < 5000; ++step) {
    const auto at = static_cast<std::size_t>(pick(random));
    if (!answers[at] || answers[at]->ended()) {
      answers[at] =
          std::make_unique<Answer>(budget, std::to_string(pick(random) % 4));
    }
    answers[at]->m_bytes = static_cast<std::size_t>(size(random));
    answers[at]->Grow(0);
    std::size_t expected = 0;
    for (const auto& answer : answers) {
      expected += answer && !answer->ended() ? answer->m_bytes : 0;
    }
    REQUIRE(budget.bytes() == expected);
    REQUIRE(expected <= kLimit);
  }
}
