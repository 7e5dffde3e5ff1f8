#include "http/connection_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <array>
#include <cstdio>
#include <utility>

#include "http/server_connection.h"

namespace hickoryloft::http {

ConnectionExchange::ConnectionExchange(ServerConnection& connection,
                                       ServerRequest request,
                                       const MessageHead& head)
    : m_connection(&connection),
      m_request(std::move(request)),
      m_keep_alive(head.m_keep_alive),
      m_accepts_chunks(head.m_accepts_chunks) {}

void ConnectionExchange::WriteHead(int status,
                                   const HeaderFields& headers,
                                   std::optional<std::uint64_t> length) {
  m_chunked = !length && m_accepts_chunks;
  m_ends_with_connection = !length && !m_accepts_chunks;
  m_keep_alive = m_keep_alive && !m_ends_with_connection &&
                 !m_connection->m_server.draining();
  std::string head = "HTTP/1.1 " + std::to_string(status) + ' ';
  head.append(ReasonPhrase(status)).append("\r\n");
  for (const HeaderField& field : headers) {
    head.append(field.m_name).append(": ").append(field.m_value).append("\r\n");
  }
  if (length) {
    head.append("Content-Length: ").append(std::to_string(*length));
    head.append("\r\n");
  } else if (m_chunked) {
    head.append("Transfer-Encoding: chunked\r\n");
  }
  head.append(m_keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
  m_connection->Write(head);
}

void ConnectionExchange::SetLogId(const std::string& id) {
  if (m_connection != nullptr) {
    m_connection->m_request_id = id;
  }
}

void ConnectionExchange::Answer(int status,
                                const HeaderFields& headers,
                                std::string_view body) {
  if (m_connection == nullptr) {
    return;
  }
  WriteHead(status, headers, body.size());
  if (m_request.m_method != "HEAD") {
    m_connection->Write(body);
  }
  m_connection->FinishAnswer(m_keep_alive);
}

void ConnectionExchange::StartAnswer(int status,
                                     const HeaderFields& headers,
                                     std::optional<std::uint64_t> length) {
  if (m_connection == nullptr) {
    return;
  }
  WriteHead(status, headers, length);
}

void ConnectionExchange::SendBody(std::string_view bytes) {
  if (m_connection == nullptr || bytes.empty()) {
    return;
  }
  if (!m_chunked) {
    m_connection->Write(bytes);
    return;
  }
  std::array<char, 24> size{};
  const int digits =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk;
  chunk.reserve(bytes.size() + static_cast<std::size_t>(digits) + 2);
  chunk.append(size.data(), static_cast<std::size_t>(digits));
  chunk.append(bytes).append("\r\n");
  m_connection->Write(chunk);
}

void ConnectionExchange::FinishAnswer() {
  if (m_connection == nullptr) {
    return;
  }
  if (m_chunked) {
    m_connection->Write("0\r\n\r\n");
  }
  m_connection->FinishAnswer(m_keep_alive);
}

void ConnectionExchange::Abort() {
  if (m_connection != nullptr) {
    m_connection->AbortAnswer(m_ends_with_connection);
  }
}

std::size_t ConnectionExchange::PendingBytes() const {
  return m_connection == nullptr ? 0
                                 : evbuffer_get_length(bufferevent_get_output(
                                       m_connection->m_buffer));
}

void ConnectionExchange::Watch(std::function<void()> on_disconnect,
                               std::function<void()> on_drained) {
  m_on_disconnect = std::move(on_disconnect);
  m_on_drained = std::move(on_drained);
}

void ConnectionExchange::Detach(bool caller_disconnected) {
  m_connection = nullptr;
  m_on_drained = nullptr;
  const auto notify = std::exchange(m_on_disconnect, nullptr);
  if (caller_disconnected && notify) {
    notify();
  }
}

void ConnectionExchange::NotifyDrained() {
  if (m_on_drained) {
    const auto on_drained = m_on_drained;
    on_drained();
  }
}

}  // namespace hickoryloft::http
