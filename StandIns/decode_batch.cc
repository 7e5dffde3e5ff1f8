#include "StandIns/decode_batch.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>
#include <vector>

namespace hickoryloft::standins {

namespace {

// Returns the number of tokens in the longest common prefix of both texts.
std::int64_t CommonTokens(const std::string& left, const std::string& right) {
  const auto [end, other] =
      std::mismatch(left.begin(), left.end(), right.begin(), right.end());
  return CountTokens(std::string(left.begin(), end));
}

}  // namespace

std::int64_t CountTokens(const std::string& text) {
  std::istringstream words(text);
  std::int64_t count = 0;
  for (std::string word; words >> word;) {
    ++count;
  }
  return count;
}

DecodeBatch::DecodeBatch(EventLoop& loop,
                         const DecodeSettings& settings,
                         std::function<bool()> is_paused)
    : m_loop(loop), m_settings(settings), m_is_paused(std::move(is_paused)) {}

SequenceId DecodeBatch::Add(Sequence sequence) {
  const SequenceId id = ++m_last_id;
  const std::int64_t priority = sequence.m_priority;
  m_waiting.emplace(std::pair(priority, id), std::move(sequence));
  Admit();
  ScheduleStep();
  return id;
}

void DecodeBatch::Cancel(SequenceId id) {
  m_running.erase(id);
  std::erase_if(m_waiting,
                [&](const auto& entry) { return entry.first.second == id; });
}

std::size_t DecodeBatch::CountSequences(const std::string& artifact) const {
  const auto running =
      std::count_if(m_running.begin(), m_running.end(), [&](const auto& entry) {
        return entry.second.m_sequence.m_artifact == artifact;
      });
  const auto waiting = std::count_if(
      m_waiting.begin(), m_waiting.end(),
      [&](const auto& entry) { return entry.second.m_artifact == artifact; });
  return static_cast<std::size_t>(running + waiting);
}

Duration DecodeBatch::StepTime() const {
  const double load_factor =
      std::max(1.0, static_cast<double>(m_running.size()) /
                        static_cast<double>(m_settings.m_full_speed_sequences));
  return FromSeconds(load_factor / m_settings.m_tokens_per_second_per_stream);
}

void DecodeBatch::Admit() {
  while (!m_waiting.empty() && m_running.size() < m_settings.m_max_running) {
    const auto first = m_waiting.begin();
    const SequenceId id = first->first.second;
    Running running{.m_sequence = std::move(first->second)};
    m_waiting.erase(first);
    running.m_prefill_steps_left = PrefillSteps(running.m_sequence);
    m_running.emplace(id, std::move(running));
  }
}

std::int64_t DecodeBatch::PrefillSteps(const Sequence& sequence) {
  const std::string prompt = sequence.m_artifact + " " + sequence.m_prompt;
  std::int64_t cached = 0;
  for (const std::string& recent_prompt : m_recent_prompts) {
    cached = std::max(cached, CommonTokens(prompt, recent_prompt));
  }
  std::erase(m_recent_prompts, prompt);
  m_recent_prompts.push_back(prompt);
  if (m_recent_prompts.size() > m_settings.m_cached_prompts) {
    m_recent_prompts.pop_front();
  }
  m_prefix_hit_tokens += static_cast<std::uint64_t>(cached);
  const double tokens_per_step = m_settings.m_prefill_tokens_per_second /
                                 m_settings.m_tokens_per_second_per_stream;
  const auto uncached = static_cast<double>(CountTokens(prompt) - cached);
  return static_cast<std::int64_t>(std::floor(uncached / tokens_per_step));
}

void DecodeBatch::ScheduleStep() {
  if (m_timer || m_running.empty()) {
    return;
  }
  m_timer = m_loop.After(StepTime(), [this] {
    m_timer.reset();
    Step();
    ScheduleStep();
  });
}

void DecodeBatch::Step() {
  if (m_is_paused()) {
    return;
  }
  std::vector<SequenceId> ids;
  ids.reserve(m_running.size());
  for (const auto& [id, running] : m_running) {
    ids.push_back(id);
  }
  // The ids are copied first, because callbacks may cancel any sequence.
  for (const SequenceId id : ids) {
    StepSequence(id);
  }
  const bool ended = m_running.size() < ids.size();
  Admit();
  if (ended && m_on_ended) {
    m_on_ended();
  }
}

void DecodeBatch::StepSequence(SequenceId id) {
  auto found = m_running.find(id);
  if (found == m_running.end()) {
    return;
  }
  if (found->second.m_prefill_steps_left > 0) {
    --found->second.m_prefill_steps_left;
    return;
  }
  Sequence& sequence = found->second.m_sequence;
  if (sequence.m_next_token < sequence.m_token_count) {
    const auto on_token = sequence.m_on_token;
    on_token(sequence.m_next_token++);
    found = m_running.find(id);
  }
  if (found == m_running.end() || found->second.m_sequence.m_next_token <
                                      found->second.m_sequence.m_token_count) {
    return;
  }
  const auto on_end = std::move(found->second.m_sequence.m_on_end);
  m_running.erase(found);
  on_end();
}

}  // namespace hickoryloft::standins
