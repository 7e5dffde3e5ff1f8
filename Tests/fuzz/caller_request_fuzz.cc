// Fuzzes the headers of callers' requests: each request is rejected, or the
// call to the endpoint names the authenticated account and contains no other
// header that is reserved for the system.

#include <cstdlib>

#include "base/error.h"
#include "fuzz_target.h"
#include "http/message_parser.h"
#include "platform/caller_protocol.h"

namespace {

using namespace hickoryloft;

constexpr std::size_t kMaxHeadBytes = 8192;

void CheckCall(const endpoint::CallRequest& call) {
  for (const char* reserved : {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From",
                               "Authorization", "Transfer-Encoding"}) {
    if (http::FindHeader(call.m_headers, reserved) != nullptr) {
      std::abort();
    }
  }
  http::HeaderFields others;
  for (const http::HeaderField& field : call.m_headers) {
    if (field.m_value.find_first_of("\r\n") != std::string::npos) {
      std::abort();
    }
    if (field.m_name != "Tenant" || field.m_value != "acc") {
      others.push_back(field);
    }
  }
  if (others.size() + 1 != call.m_headers.size() ||
      http::FindHeader(others, "Tenant") != nullptr) {
    std::abort();
  }
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input = InputText(data, size);
  http::ServerRequest request;
  std::string body;
  http::MessageParser parser(
      http::MessageType::kRequest, kMaxHeadBytes,
      {.m_head =
           [&](http::MessageHead&& head) {
             request.m_method = head.m_method;
             request.m_target = head.m_target;
             request.m_headers = std::move(head.m_headers);
           },
       .m_body = [&](std::string_view bytes) { body += bytes; },
       .m_end = [] {}});
  parser.Feed(input);
  if (!parser.complete()) {
    return 0;
  }
  request.m_body = std::move(body);
  const jarro::CallerProtocol protocol;
  try {
    const fleet::CallerRequest decoded = protocol.DecodeRequest(request);
    CheckCall(protocol.EncodeCall(
        decoded, {.m_endpoint = {EndpointId("i-1"), "10.0.0.9", 80},
                  .m_time_left = milliseconds(1200),
                  .m_account = ClientAccountId("acc"),
                  .m_urgency = 1}));
  } catch (const Error& error) {
    if (error.code() != ErrorCode::kProtocol) {
      std::abort();
    }
  }
  return 0;
}
