// Bounds the memory that many growing buffers use together.

#ifndef SOURCE_BASE_BUFFER_BUDGET_H_
#define SOURCE_BASE_BUFFER_BUDGET_H_

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace hickoryloft {

// Each buffer belongs to the peer that fills it. If all buffers together exceed
// the limit, one is ended, and so on until they fit: a buffer of unknown final
// size before one of known size, then one of the peer whose buffers use most,
// then the largest. A peer that sends without end is thus ended before others,
// whichever answer came first. Not thread-safe. Must outlive its buffers.
class BufferBudget {
 public:
  // What the callback of a buffer that is ended learns.
  struct Excess {
    std::size_t m_bytes = 0;       // Of the buffer.
    std::size_t m_peer_bytes = 0;  // Of all buffers of its peer.
    std::size_t m_limit = 0;       // Of all buffers together.
  };
  using OnEnded = std::function<void(const Excess&)>;

  // The share of one buffer. Counts no bytes after it has been ended.
  class Buffer {
   public:
    // `on_ended` is called at most once, from a Resize() of any buffer. It may
    // destroy buffers, this one included, and must release the memory.
    Buffer(BufferBudget& budget, std::string peer, OnEnded on_ended);
    ~Buffer();
    Buffer(const Buffer&) = delete;
    Buffer& operator=(const Buffer&) = delete;

    // Records that the final size is known, for example from a length field.
    void SetFinalSizeKnown() { m_final_size_known = true; }
    // Sets the memory that the buffer uses. May end and destroy buffers, this
    // one included.
    void Resize(std::size_t bytes);

   private:
    friend class BufferBudget;

    BufferBudget& m_budget;
    std::string m_peer;
    OnEnded m_on_ended;
    std::size_t m_bytes = 0;
    bool m_final_size_known = false;
  };

  explicit BufferBudget(std::size_t limit_bytes) : m_limit(limit_bytes) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  std::size_t limit() const { return m_limit; }
  std::size_t bytes() const { return m_bytes; }
  // Number of buffers that were ended.
  std::size_t ended() const { return m_ended; }

 private:
  void Count(Buffer& buffer, std::size_t bytes);
  void EndLargest();
  std::size_t BytesOf(const std::string& peer) const;

  std::size_t m_limit;
  std::size_t m_bytes = 0;
  std::size_t m_ended = 0;
  std::unordered_set<Buffer*> m_buffers;  // Those that are not ended.
  std::unordered_map<std::string, std::size_t> m_bytes_by_peer;
};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_BUFFER_BUDGET_H_
