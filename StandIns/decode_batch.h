// A simple model of continuous batching: each step produces one token for every
// running sequence and takes longer once there are more of them than run at
// full speed.

#ifndef STANDINS_DECODE_BATCH_H_
#define STANDINS_DECODE_BATCH_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "base/time.h"

namespace hickoryloft::standins {

struct DecodeSettings {
  double m_tokens_per_second_per_stream = 50;
  double m_prefill_tokens_per_second = 8000;
  std::size_t m_full_speed_sequences = 8;  // With more, all slow down.
  std::size_t m_max_running = 32;          // Further sequences wait.
  std::size_t m_cached_prompts = 64;
};

// The generation of tokens for one request.
struct Sequence {
  std::string m_artifact;
  std::string m_prompt;
  std::int64_t m_priority = 0;  // Lower values run first, as in real engines.
  std::int64_t m_next_token = 0;
  // The last token has the number m_token_count - 1.
  std::int64_t m_token_count = 0;
  std::function<void(std::int64_t)> m_on_token;
  std::function<void()> m_on_end;
};

using SequenceId = std::uint64_t;

// Use on the loop's thread only.
class DecodeBatch {
 public:
  // `is_paused` returns whether the engine is frozen and produces no tokens.
  DecodeBatch(EventLoop& loop,
              const DecodeSettings& settings,
              std::function<bool()> is_paused);

  SequenceId Add(Sequence sequence);
  // Removes the sequence, if it still exists, without calling its callbacks.
  void Cancel(SequenceId id);

  std::size_t running() const { return m_running.size(); }
  std::size_t waiting() const { return m_waiting.size(); }
  // Returns how many running and waiting sequences use `artifact`.
  std::size_t CountSequences(const std::string& artifact) const;
  std::uint64_t prefix_hit_tokens() const { return m_prefix_hit_tokens; }

  // Calls `callback` after each step in which a sequence ended.
  void OnEnded(std::function<void()> callback) {
    m_on_ended = std::move(callback);
  }

 private:
  struct Running {
    Sequence m_sequence;
    std::int64_t m_prefill_steps_left = 0;  // Left before the first token.
  };

  Duration StepTime() const;
  void Admit();
  std::int64_t PrefillSteps(const Sequence& sequence);
  void Step();
  void StepSequence(SequenceId id);
  void ScheduleStep();

  EventLoop& m_loop;
  DecodeSettings m_settings;
  std::function<bool()> m_is_paused;
  std::function<void()> m_on_ended;
  SequenceId m_last_id = 0;
  // By priority, then by arrival.
  std::map<std::pair<std::int64_t, SequenceId>, Sequence> m_waiting;
  std::map<SequenceId, Running> m_running;
  std::deque<std::string> m_recent_prompts;  // Least recently used first.
  std::uint64_t m_prefix_hit_tokens = 0;
  std::unique_ptr<Timer> m_timer;
};

// Returns the number of tokens in `text`, where each word is a token.
// Thread-safe.
std::int64_t CountTokens(const std::string& text);

}  // namespace hickoryloft::standins

#endif  // STANDINS_DECODE_BATCH_H_
