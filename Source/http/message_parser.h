// Incremental parser of HTTP/1.1 messages. It parses one message at a time and
// leaves the bytes after its end to the user of the parser.

#ifndef SOURCE_HTTP_MESSAGE_PARSER_H_
#define SOURCE_HTTP_MESSAGE_PARSER_H_

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "http/header_fields.h"

namespace hickoryloft::http {

enum class MessageType { kRequest, kResponse };

struct MessageHead {
  std::string m_method;  // Requests only.
  std::string m_target;  // Requests only: as received.
  int m_status = 0;      // Responses only.
  HeaderFields m_headers;
  bool m_keep_alive = false;
  // The sender understands chunks: HTTP/1.1 or later.
  bool m_accepts_chunks = true;
  bool m_chunked = false;
  std::optional<std::uint64_t> m_content_length;
};

// Events of a parser, in this order: m_head, any number of m_body, m_end.
struct ParserEvents {
  std::function<void(MessageHead&&)> m_head;
  std::function<void(std::string_view)> m_body;
  std::function<void()> m_end;
};

enum class ParseError { kNone, kMalformed, kHeadTooLarge };

// Not thread-safe. The event callbacks must not destroy the parser.
class MessageParser {
 public:
  MessageParser(MessageType type,
                std::size_t max_head_bytes,
                ParserEvents events);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Parses up to the end of the message and returns the number of bytes parsed:
  // 0 after an error or after the end of the message.
  std::size_t Feed(std::string_view bytes);

  // Signals the end of the input. Returns whether the message is complete. Only
  // a response with neither a length nor chunks is completed this way.
  bool FeedEnd();

  // Prepares for the next message. Precondition: complete().
  void Reset();

  bool complete() const { return m_complete; }
  bool head_done() const { return m_head_done; }
  // Whether any byte of the message has been parsed.
  bool started() const { return m_started; }
  ParseError error() const { return m_error; }

 private:
  static int OnUrl(http_parser* parser, const char* at, std::size_t length);
  static int OnField(http_parser* parser, const char* at, std::size_t length);
  static int OnValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t length);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  bool AddHeadBytes(std::size_t bytes);
  bool HasValidFraming() const;

  MessageType m_type;
  std::size_t m_max_head_bytes;
  ParserEvents m_events;
  http_parser m_parser{};
  MessageHead m_head;
  std::size_t m_head_bytes = 0;
  bool m_in_value = false;
  bool m_started = false;
  bool m_head_done = false;
  bool m_complete = false;
  ParseError m_error = ParseError::kNone;
};

}  // namespace hickoryloft::http

#endif  // SOURCE_HTTP_MESSAGE_PARSER_H_
