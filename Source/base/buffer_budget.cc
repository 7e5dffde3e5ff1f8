#include "base/buffer_budget.h"

#include <tuple>
#include <utility>

namespace hickoryloft {

BufferBudget::Buffer::Buffer(BufferBudget& budget,
                             std::string peer,
                             OnEnded on_ended)
    : m_budget(budget),
      m_peer(std::move(peer)),
      m_on_ended(std::move(on_ended)) {
  m_budget.m_buffers.insert(this);
}

BufferBudget::Buffer::~Buffer() {
  m_budget.Count(*this, 0);
  m_budget.m_buffers.erase(this);
}

void BufferBudget::Buffer::Resize(std::size_t bytes) {
  BufferBudget& budget = m_budget;
  if (!budget.m_buffers.contains(this)) {
    return;  // Ended.
  }
  budget.Count(*this, bytes);
  // This buffer may be destroyed from here on.
  while (budget.m_bytes > budget.m_limit) {
    budget.EndLargest();
  }
}

void BufferBudget::Count(Buffer& buffer, std::size_t bytes) {
  if (bytes == buffer.m_bytes) {
    return;
  }
  m_bytes += bytes - buffer.m_bytes;
  const auto peer = m_bytes_by_peer.try_emplace(buffer.m_peer, 0).first;
  peer->second += bytes - buffer.m_bytes;
  if (peer->second == 0) {
    m_bytes_by_peer.erase(peer);
  }
  buffer.m_bytes = bytes;
}

std::size_t BufferBudget::BytesOf(const std::string& peer) const {
  const auto known = m_bytes_by_peer.find(peer);
  return known == m_bytes_by_peer.end() ? 0 : known->second;
}

void BufferBudget::EndLargest() {
  const auto rank = [this](const Buffer& buffer) {
    return std::tuple(!buffer.m_final_size_known, BytesOf(buffer.m_peer),
                      buffer.m_bytes);
  };
  Buffer* largest = nullptr;
  for (Buffer* buffer : m_buffers) {
    if (buffer->m_bytes > 0 &&
        (largest == nullptr || rank(*buffer) > rank(*largest))) {
      largest = buffer;
    }
  }
  const Excess excess{.m_bytes = largest->m_bytes,
                      .m_peer_bytes = BytesOf(largest->m_peer),
                      .m_limit = m_limit};
  Count(*largest, 0);
  m_buffers.erase(largest);
  ++m_ended;
  const OnEnded on_ended = std::exchange(largest->m_on_ended, nullptr);
  on_ended(excess);
}

}  // namespace hickoryloft
