#include "coordinator/admin_server.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/hashing.h"
#include "coordinator/status_page.h"

namespace hickoryloft::coordinator {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpCreated = 201;
constexpr int kHttpAccepted = 202;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpUnauthorized = 401;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpUnprocessable = 422;
constexpr int kHttpPreconditionRequired = 428;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

constexpr int kRequestTimeoutSeconds = 30;
constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
// Above the document size limit, so that a slightly larger document is still
// read and refused with a reason.
constexpr std::size_t kMaxBodyBytes =
    documents::kMaxDocumentBytes + std::size_t{64} * 1024;

const std::string kDocumentsPath = "/admin/documents";

constexpr char kJsonType[] = "application/json";
constexpr char kProblemType[] = "application/problem+json";

void Reply(evhttp_request* request,
           int status,
           const char* content_type,
           const std::string& body) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    content_type);
  evbuffer* buffer = evhttp_request_get_output_buffer(request);
  evbuffer_add(buffer, body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, nullptr);
}

void ReplyProblem(evhttp_request* request,
                  int status,
                  const std::string& name,
                  const std::string& detail) {
  const nlohmann::json problem = {
      {"type", "urn:hickoryloft:problem:" + name},
      {"title", name},
      {"status", status},
      {"detail", detail},
  };
  Reply(request, status, kProblemType,
        problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void SetETag(evhttp_request* request, Revision revision) {
  const std::string tag = '"' + std::to_string(revision) + '"';
  evhttp_add_header(evhttp_request_get_output_headers(request), "ETag",
                    tag.c_str());
}

std::optional<std::string> FindHeader(evhttp_request* request,
                                      const char* name) {
  const char* value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::string RequestBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

// Parses the revision in an entity tag, such as "42" (with the quotes).
std::optional<Revision> ParseETag(const std::string& tag) {
  constexpr std::size_t kQuotes = 2;
  if (tag.size() <= kQuotes || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  Revision revision = 0;
  const char* end = tag.data() + tag.size() - 1;
  const auto result = std::from_chars(tag.data() + 1, end, revision);
  if (result.ec != std::errc() || result.ptr != end || revision <= 0) {
    return std::nullopt;
  }
  return revision;
}

// The response to an operator for a state of a finished change.
struct WriteStatus {
  int m_status;
  const char* m_name;
  const char* m_outcome;
};

const std::map<WriteState, WriteStatus>& WriteStatuses() {
  static const std::map<WriteState, WriteStatus> kStatuses = {
      {WriteState::kAccepted, {kHttpOk, "accepted", "accepted"}},
      {WriteState::kPending, {kHttpAccepted, "pending", "pending"}},
      {WriteState::kConflict, {kHttpPreconditionFailed, "conflict", "not_run"}},
      {WriteState::kInvalid,
       {kHttpUnprocessable, "invalid_document", "not_run"}},
      {WriteState::kNotRun, {kHttpUnavailable, "unavailable", "not_run"}},
      {WriteState::kUnknown,
       {kHttpGatewayTimeout, "outcome_unknown", "unknown"}},
  };
  return kStatuses;
}

void ReplyWrite(evhttp_request* request,
                const WriteReport& report,
                bool created) {
  const WriteStatus& status = WriteStatuses().at(report.m_state);
  const bool accepted = report.m_state == WriteState::kAccepted;
  const int code = accepted && created ? kHttpCreated : status.m_status;
  if (report.m_revision != 0) {
    SetETag(request, report.m_revision);
  }
  nlohmann::json body = {
      {"outcome", status.m_outcome},
      {"revision", report.m_revision},
      {"acknowledged", report.m_acknowledged},
      {"members", report.m_members},
  };
  if (!accepted) {
    body["type"] = std::string("urn:hickoryloft:problem:") + status.m_name;
    body["title"] = status.m_name;
    body["status"] = code;
    body["detail"] = report.m_detail;
  }
  Reply(request, code, accepted ? kJsonType : kProblemType,
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

// Holds a request that is answered later. Drops it if its connection closes
// first.
class DeferredRequest {
 public:
  explicit DeferredRequest(evhttp_request* request) : m_request(request) {
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  &DeferredRequest::OnClose, this);
  }
  ~DeferredRequest() {
    if (m_request == nullptr) {
      return;
    }
    if (evhttp_connection* connection =
            evhttp_request_get_connection(m_request)) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
  }
  DeferredRequest(const DeferredRequest&) = delete;
  DeferredRequest& operator=(const DeferredRequest&) = delete;

  // Returns the request, or nullptr if its connection closed.
  evhttp_request* get() const { return m_request; }

 private:
  static void OnClose(evhttp_connection* /*connection*/, void* self) {
    static_cast<DeferredRequest*>(self)->m_request = nullptr;
  }

  evhttp_request* m_request;
};

std::uint16_t BoundPort(evhttp_bound_socket* socket) {
  sockaddr_storage bound{};
  socklen_t size = sizeof(bound);
  getsockname(evhttp_bound_socket_get_fd(socket),
              reinterpret_cast<sockaddr*>(&bound), &size);
  if (bound.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&bound)->sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);
}

}  // namespace

AdminServer::AdminServer(Coordinator& coordinator, AdminSettings settings)
    : m_coordinator(coordinator), m_settings(std::move(settings)) {
  m_server = evhttp_new(coordinator.Loop().base());
  evhttp_set_allowed_methods(
      m_server, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_timeout(m_server, kRequestTimeoutSeconds);
  evhttp_set_max_headers_size(m_server, kMaxHeaderBytes);
  evhttp_set_max_body_size(m_server, kMaxBodyBytes);
  evhttp_set_gencb(m_server, &AdminServer::OnRequest, this);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(
      m_server, m_settings.m_address.c_str(), m_settings.m_port);
  if (socket == nullptr) {
    evhttp_free(m_server);
    throw Error(ErrorCode::kIo, "cannot listen on " + m_settings.m_address +
                                    ":" + std::to_string(m_settings.m_port) +
                                    ": " + std::strerror(errno));
  }
  m_port = BoundPort(socket);
}

AdminServer::~AdminServer() {
  evhttp_free(m_server);
}

void AdminServer::OnRequest(evhttp_request* request, void* self) {
  static_cast<AdminServer*>(self)->Handle(request);
}

void AdminServer::Handle(evhttp_request* request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* raw_path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  const std::string path = raw_path == nullptr ? "" : raw_path;
  const bool is_get = evhttp_request_get_command(request) == EVHTTP_REQ_GET;
  if (is_get && path == "/healthz") {
    Reply(request, kHttpOk, "text/plain", "ok\n");
  } else if (is_get && path == "/readyz") {
    const bool ready = m_coordinator.Ready();
    Reply(request, ready ? kHttpOk : kHttpUnavailable, "text/plain",
          ready ? "ready\n" : "not ready\n");
  } else if (is_get && path == "/metrics") {
    m_coordinator.UpdateMetrics();
    Reply(request, kHttpOk, "text/plain; version=0.0.4",
          m_coordinator.Metrics().ToPrometheusText());
  } else if (is_get && path == "/metrics.json") {
    m_coordinator.UpdateMetrics();
    Reply(request, kHttpOk, "application/json",
          m_coordinator.Metrics().ToJson());
  } else if (path.starts_with("/admin/")) {
    HandleAdmin(request, path);
  } else {
    ReplyProblem(request, kHttpNotFound, "not_found", "there is no such page");
  }
}

void AdminServer::HandleAdmin(evhttp_request* request,
                              const std::string& path) {
  if (!Authorized(request)) {
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "WWW-Authenticate", "Bearer");
    ReplyProblem(request, kHttpUnauthorized, "unauthorized",
                 "give the operators' key as a bearer token");
    return;
  }
  const bool is_get = evhttp_request_get_command(request) == EVHTTP_REQ_GET;
  if (path.starts_with(kDocumentsPath + "/")) {
    HandleDocument(request, ServiceId(path.substr(kDocumentsPath.size() + 1)));
  } else if (!is_get) {
    ReplyProblem(request, kHttpMethodNotAllowed, "method_not_allowed",
                 "this page can only be read");
  } else if (path == kDocumentsPath) {
    Reply(request, kHttpOk, kJsonType, ListDocuments(m_coordinator).dump());
  } else if (path == "/admin/status") {
    Reply(request, kHttpOk, kJsonType, MakeStatus(m_coordinator).dump());
  } else {
    ReplyProblem(request, kHttpNotFound, "not_found", "there is no such page");
  }
}

void AdminServer::HandleDocument(evhttp_request* request,
                                 const ServiceId& service) {
  if (evhttp_request_get_command(request) == EVHTTP_REQ_GET) {
    GetDocument(request, service);
  } else {
    ChangeDocument(request, service);
  }
}

void AdminServer::GetDocument(evhttp_request* request,
                              const ServiceId& service) {
  const auto& texts = m_coordinator.documents().table().texts();
  const auto found = texts.find(service);
  if (found == texts.end()) {
    ReplyProblem(request, kHttpNotFound, "not_found",
                 "there is no document of service " + service.value());
    return;
  }
  SetETag(request, found->second.m_revision);
  Reply(request, kHttpOk, "application/toml", found->second.m_text);
}

void AdminServer::ChangeDocument(evhttp_request* request,
                                 const ServiceId& service) {
  const bool is_put = evhttp_request_get_command(request) == EVHTTP_REQ_PUT;
  const auto if_match = FindHeader(request, "If-Match");
  const bool create = is_put && FindHeader(request, "If-None-Match") == "*";
  if (create == if_match.has_value()) {
    ReplyProblem(request, kHttpPreconditionRequired, "precondition_required",
                 "give If-Match with the revision that you changed, or "
                 "If-None-Match: * to create the document");
    return;
  }
  const auto expected =
      create ? std::optional<Revision>(0) : ParseETag(*if_match);
  if (!expected) {
    ReplyProblem(request, kHttpBadRequest, "bad_request",
                 "If-Match must hold one revision in quotes");
    return;
  }
  DocumentWrite write{.m_service = service, .m_expected_revision = *expected};
  if (is_put) {
    write.m_text = RequestBody(request);
  }
  const auto deferred = std::make_shared<DeferredRequest>(request);
  m_coordinator.Write(std::move(write),
                      [deferred, create](const WriteReport& report) {
                        if (deferred->get() != nullptr) {
                          ReplyWrite(deferred->get(), report, create);
                        }
                      });
}

bool AdminServer::Authorized(evhttp_request* request) const {
  const auto header = FindHeader(request, "Authorization");
  const std::string expected = "Bearer " + m_settings.m_operator_key;
  return !m_settings.m_operator_key.empty() && header &&
         EqualInConstantTime(*header, expected);
}

}  // namespace hickoryloft::coordinator
