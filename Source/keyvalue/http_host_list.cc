#include "keyvalue/http_host_list.h"

#include <utility>

#include "keyvalue/host_list_json.h"

namespace hickoryloft::keyvalue {

namespace {

Result<std::vector<ListedTarget>> ToTargets(const Result<HttpReply>& reply) {
  if (!reply.ok()) {
    // A read has no effect, so a lost answer is the same as an unavailable
    // list.
    return reply.error().code() == ErrorCode::kOutcomeUnknown
               ? Error(ErrorCode::kUnavailable, reply.error().what())
               : reply.error();
  }
  constexpr int kStatusOk = 200;
  if (reply.value().m_status != kStatusOk) {
    return Error(ErrorCode::kProtocol,
                 "the host list server answered with status " +
                     std::to_string(reply.value().m_status));
  }
  try {
    return ParseHostList(reply.value().m_body);
  } catch (const Error& error) {
    return error;
  }
}

}  // namespace

HttpHostList::HttpHostList(EventLoop& loop,
                           const HttpHostListSettings& settings)
    : m_http(loop,
             {.m_address = settings.m_address,
              .m_port = settings.m_port,
              .m_user_agent = "hickoryloft/" + settings.m_host.value(),
              .m_timeout = settings.m_timeout,
              .m_max_connections = 1}),
      m_path(settings.m_path) {}

void HttpHostList::Fetch(
    std::function<void(Result<std::vector<ListedTarget>>)> callback) {
  m_http.Send({.m_method = HttpMethod::kGet, .m_path = m_path},
              [callback = std::move(callback)](const Result<HttpReply>& reply) {
                callback(ToTargets(reply));
              });
}

}  // namespace hickoryloft::keyvalue
