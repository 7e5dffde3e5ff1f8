#include "tools/ctl/admin_client.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace hickoryloft::tools {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpCreated = 201;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpForbidden = 403;
constexpr int kHttpNotFound = 404;
constexpr int kHttpPreconditionFailed = 412;

std::string DocumentPath(const ServiceId& service) {
  return "/admin/documents/" + service.value();
}

// Returns the detail of the problem document in `body`, or `body` itself if it
// has none.
std::string ProblemText(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_object() && json.contains("detail")) {
    return json["detail"].is_string() ? json["detail"].get<std::string>()
                                      : json["detail"].dump();
  }
  return body.empty() ? "the coordinator's reply has an empty body" : body;
}

ErrorCode ErrorCodeForStatus(int status) {
  constexpr int kFirstServerError = 500;
  switch (status) {
    case kHttpUnauthorized:
    case kHttpForbidden:
      return ErrorCode::kUnauthenticated;
    case kHttpNotFound:
      return ErrorCode::kNotFound;
    case kHttpPreconditionFailed:
      return ErrorCode::kConflict;
    case 400:
    case 413:
    case 422:
      return ErrorCode::kInvalidDocument;
    case 503:
      return ErrorCode::kUnavailable;
    default:
      return status == 202 || status >= kFirstServerError
                 ? ErrorCode::kOutcomeUnknown
                 : ErrorCode::kProtocol;
  }
}

void RequireSuccess(const keyvalue::HttpReply& reply) {
  if (reply.m_status != kHttpOk && reply.m_status != kHttpCreated) {
    throw Error(ErrorCodeForStatus(reply.m_status), ProblemText(reply.m_body));
  }
}

// Parses the revision from the ETag header, for example "42" with the quotes.
Revision ParseRevision(const keyvalue::HttpReply& reply) {
  const std::string tag = reply.Header("ETag");
  constexpr std::size_t kQuoteCount = 2;
  if (tag.size() <= kQuoteCount || tag.front() != '"') {
    throw Error(ErrorCode::kProtocol,
                "the coordinator's reply has no ETag with a revision");
  }
  return std::strtoll(tag.c_str() + 1, nullptr, 10);
}

}  // namespace

AdminClient::AdminClient(HostPort coordinator,
                         std::string operator_key,
                         Duration timeout)
    : m_coordinator(std::move(coordinator)),
      m_operator_key(std::move(operator_key)),
      m_timeout(timeout) {}

std::optional<StoredDocument> AdminClient::GetDocument(
    const ServiceId& service) {
  const auto reply =
      Call(keyvalue::HttpMethod::kGet, DocumentPath(service), "", std::nullopt);
  if (reply.m_status == kHttpNotFound) {
    return std::nullopt;
  }
  RequireSuccess(reply);
  return StoredDocument{.m_text = reply.m_body,
                        .m_revision = ParseRevision(reply)};
}

Revision AdminClient::PutDocument(const ServiceId& service,
                                  const std::string& text,
                                  Revision expected_revision) {
  const auto reply = Call(keyvalue::HttpMethod::kPut, DocumentPath(service),
                          text, expected_revision);
  RequireSuccess(reply);
  return ParseRevision(reply);
}

void AdminClient::DeleteDocument(const ServiceId& service,
                                 Revision expected_revision) {
  RequireSuccess(Call(keyvalue::HttpMethod::kDelete, DocumentPath(service), "",
                      expected_revision));
}

std::string AdminClient::GetPage(const std::string& page) {
  const auto reply =
      Call(keyvalue::HttpMethod::kGet, "/admin/" + page, "", std::nullopt);
  RequireSuccess(reply);
  return reply.m_body;
}

keyvalue::HttpReply AdminClient::Call(
    keyvalue::HttpMethod method,
    const std::string& path,
    const std::string& body,
    std::optional<Revision> expected_revision) {
  keyvalue::HttpRequest request{
      .m_method = method,
      .m_path = path,
      .m_body = body,
      .m_headers = {{"Authorization", "Bearer " + m_operator_key}}};
  if (expected_revision == Revision{0}) {
    request.m_headers.emplace_back("If-None-Match", "*");
  } else if (expected_revision) {
    request.m_headers.emplace_back(
        "If-Match", "\"" + std::to_string(*expected_revision) + "\"");
  }
  return CallAndWait(m_coordinator, std::move(request), m_timeout);
}

}  // namespace hickoryloft::tools
