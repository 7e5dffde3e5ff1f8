#include "http/message_parser.h"

#include <limits>
#include <utility>

namespace hickoryloft::http {

namespace {

// Bytes of separators in a header field or a request line, which the parser
// library does not report.
constexpr std::size_t kSeparatorBytes = 4;

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
// Tells the parser library that no body follows the head.
constexpr int kSkipBody = 1;

// Returns whether `status` can be that of a response. No request asks for
// another protocol.
bool IsStatus(unsigned status) {
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols;
}

MessageParser* Self(http_parser* parser) {
  return static_cast<MessageParser*>(parser->data);
}

}  // namespace

MessageParser::MessageParser(MessageType type,
                             std::size_t max_head_bytes,
                             ParserEvents events)
    : m_type(type),
      m_max_head_bytes(max_head_bytes),
      m_events(std::move(events)) {
  Reset();
}

void MessageParser::Reset() {
  http_parser_init(&m_parser, m_type == MessageType::kRequest ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
  m_parser.data = this;
  m_head = MessageHead{};
  m_head_bytes = 0;
  m_in_value = false;
  m_started = false;
  m_head_done = false;
  m_complete = false;
  m_error = ParseError::kNone;
}

const http_parser_settings& MessageParser::Callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &OnUrl;
    settings.on_header_field = &OnField;
    settings.on_header_value = &OnValue;
    settings.on_headers_complete = &OnHeadersComplete;
    settings.on_body = &OnBody;
    settings.on_message_complete = &OnMessageComplete;
    return settings;
  }();
  return kCallbacks;
}

std::size_t MessageParser::Feed(std::string_view bytes) {
  if (m_complete || m_error != ParseError::kNone || bytes.empty()) {
    return 0;
  }
  m_started = true;
  const std::size_t parsed =
      http_parser_execute(&m_parser, &Callbacks(), bytes.data(), bytes.size());
  const http_errno failure = HTTP_PARSER_ERRNO(&m_parser);
  if (failure == HPE_PAUSED && m_complete) {
    http_parser_pause(&m_parser, 0);
    return parsed;
  }
  if (failure != HPE_OK && m_error == ParseError::kNone) {
    m_error = failure == HPE_HEADER_OVERFLOW ? ParseError::kHeadTooLarge
                                             : ParseError::kMalformed;
  }
  if (m_parser.upgrade != 0) {
    m_error = ParseError::kMalformed;
  }
  return parsed;
}

bool MessageParser::FeedEnd() {
  if (!m_complete && m_error == ParseError::kNone && m_head_done) {
    http_parser_execute(&m_parser, &Callbacks(), "", 0);
  }
  return m_complete;
}

bool MessageParser::AddHeadBytes(std::size_t bytes) {
  m_head_bytes += bytes;
  if (m_head_bytes <= m_max_head_bytes || m_head_done) {
    return true;
  }
  m_error = ParseError::kHeadTooLarge;
  return false;
}

bool MessageParser::HasValidFraming() const {
  // The library accepts spaces in field names. Other HTTP implementations may
  // trim them and see another field.
  for (const HeaderField& field : m_head.m_headers) {
    if (field.m_name.empty() ||
        field.m_name.find_first_of(" \t") != std::string::npos) {
      return false;
    }
  }
  const std::size_t lengths = CountHeaders(m_head.m_headers, "Content-Length");
  const std::size_t encodings =
      CountHeaders(m_head.m_headers, "Transfer-Encoding");
  if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
    return false;
  }
  const std::string* encoding =
      FindHeader(m_head.m_headers, "Transfer-Encoding");
  return encoding == nullptr || SameName(*encoding, "chunked");
}

int MessageParser::OnUrl(http_parser* parser,
                         const char* at,
                         std::size_t length) {
  MessageParser* self = Self(parser);
  // The library may report the target in several pieces.
  const std::size_t separators =
      self->m_head.m_target.empty() ? kSeparatorBytes : 0;
  self->m_head.m_target.append(at, length);
  return self->AddHeadBytes(length + separators) ? 0 : 1;
}

int MessageParser::OnField(http_parser* parser,
                           const char* at,
                           std::size_t length) {
  MessageParser* self = Self(parser);
  if (self->m_head_done) {
    return 0;  // Trailer fields are ignored.
  }
  std::size_t separators = 0;
  if (self->m_in_value || self->m_head.m_headers.empty()) {
    self->m_head.m_headers.emplace_back();
    self->m_in_value = false;
    separators = kSeparatorBytes;
  }
  self->m_head.m_headers.back().m_name.append(at, length);
  return self->AddHeadBytes(length + separators) ? 0 : 1;
}

int MessageParser::OnValue(http_parser* parser,
                           const char* at,
                           std::size_t length) {
  MessageParser* self = Self(parser);
  if (self->m_head_done) {
    return 0;
  }
  self->m_in_value = true;
  self->m_head.m_headers.back().m_value.append(at, length);
  return self->AddHeadBytes(length) ? 0 : 1;
}

int MessageParser::OnHeadersComplete(http_parser* parser) {
  MessageParser* self = Self(parser);
  MessageHead& head = self->m_head;
  const bool request = self->m_type == MessageType::kRequest;
  if (!self->HasValidFraming() || parser->upgrade != 0 ||
      (!request && !IsStatus(parser->status_code))) {
    self->m_error = ParseError::kMalformed;
    return -1;
  }
  self->m_head_done = true;
  if (request) {
    head.m_method = http_method_str(static_cast<http_method>(parser->method));
  } else {
    head.m_status = static_cast<int>(parser->status_code);
  }
  head.m_keep_alive = http_should_keep_alive(parser) != 0;
  head.m_accepts_chunks = parser->http_major > 1 ||
                          (parser->http_major == 1 && parser->http_minor >= 1);
  head.m_chunked = (parser->flags & F_CHUNKED) != 0;
  if ((parser->flags & F_CONTENTLENGTH) != 0 &&
      parser->content_length != std::numeric_limits<std::uint64_t>::max()) {
    head.m_content_length = parser->content_length;
  }
  if (!request && parser->status_code < kFirstFinalStatus) {
    return kSkipBody;
  }
  self->m_events.m_head(std::move(head));
  return 0;
}

int MessageParser::OnBody(http_parser* parser,
                          const char* at,
                          std::size_t length) {
  Self(parser)->m_events.m_body({at, length});
  return 0;
}

int MessageParser::OnMessageComplete(http_parser* parser) {
  MessageParser* self = Self(parser);
  // An interim response (1xx) is followed by the final one.
  if (self->m_type == MessageType::kResponse &&
      parser->status_code < kFirstFinalStatus) {
    self->m_head = MessageHead{};
    self->m_head_done = false;
    self->m_in_value = false;
    return 0;
  }
  self->m_complete = true;
  self->m_events.m_end();
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace hickoryloft::http
