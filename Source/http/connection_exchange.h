// Implements ServerExchange on a ServerConnection.

#ifndef SOURCE_HTTP_CONNECTION_EXCHANGE_H_
#define SOURCE_HTTP_CONNECTION_EXCHANGE_H_

#include <functional>
#include <optional>

#include "http/message_parser.h"
#include "http/server_exchange.h"

namespace hickoryloft::http {

class ServerConnection;

// Use on the loop's thread only.
class ConnectionExchange : public ServerExchange {
 public:
  // `head`: of the request. `connection` must call Detach() before it is
  // destroyed.
  ConnectionExchange(ServerConnection& connection,
                     ServerRequest request,
                     const MessageHead& head);

  const ServerRequest& request() const override { return m_request; }
  void SetLogId(const std::string& id) override;
  void Answer(int status,
              const HeaderFields& headers,
              std::string_view body) override;
  void StartAnswer(int status,
                   const HeaderFields& headers,
                   std::optional<std::uint64_t> length) override;
  void SendBody(std::string_view bytes) override;
  void FinishAnswer() override;
  void Abort() override;
  std::size_t PendingBytes() const override;
  bool open() const override { return m_connection != nullptr; }
  void Watch(std::function<void()> on_disconnect,
             std::function<void()> on_drained) override;

  // Called when this exchange no longer uses the connection. Notifies the
  // handler if the caller closed the connection.
  void Detach(bool caller_disconnected);
  void NotifyDrained();

 private:
  void WriteHead(int status,
                 const HeaderFields& headers,
                 std::optional<std::uint64_t> length);

  ServerConnection* m_connection;
  ServerRequest m_request;
  bool m_keep_alive;
  bool m_accepts_chunks;
  bool m_chunked = false;
  // Only the end of the connection tells the caller where the answer ends.
  bool m_ends_with_connection = false;
  std::function<void()> m_on_disconnect;
  std::function<void()> m_on_drained;
};

}  // namespace hickoryloft::http

#endif  // SOURCE_HTTP_CONNECTION_EXCHANGE_H_
