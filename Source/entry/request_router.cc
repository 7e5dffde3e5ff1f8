#include "entry/request_router.h"

#include <strings.h>
#include <array>

#include "entry/completion_flow.h"
#include "entry/credentials.h"
#include "entry/reply.h"

namespace hickoryloft::entry {

namespace {

using endpoint::HttpMethod;

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kModelsPrefix = "/v1/";

constexpr std::array<std::string_view, 8> kUniqueHeaders = {
    "authorization",   "content-length",    "content-type",  "host",
    "idempotency-key", "transfer-encoding", "x-patience-ms", "x-request-id"};

constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

std::size_t CountHeader(const endpoint::HeaderFields& headers,
                        std::string_view name) {
  std::size_t count = 0;
  for (const endpoint::HeaderField& field : headers) {
    count +=
        field.m_name.size() == name.size() &&
                strncasecmp(field.m_name.data(), name.data(), name.size()) == 0
            ? 1
            : 0;
  }
  return count;
}

endpoint::Artifact FindArtifact(const documents::Document& document,
                                const CompletionBody& body) {
  const auto model = document.m_models.find(ModelId(body.m_model));
  if (model == document.m_models.end()) {
    throw Problem{.m_kind = ProblemKind::kUnknownModel,
                  .m_detail = "no model '" + body.m_model +
                              "' in the account's document"};
  }
  endpoint::Artifact artifact{.m_model = ModelId(documents::QualifiedName(
                                  document.m_service, body.m_model)),
                              .m_adapter = AdapterId(),
                              .m_version = model->second.m_version};
  if (body.m_adapter.empty()) {
    return artifact;
  }
  const auto adapter = model->second.m_adapters.find(AdapterId(body.m_adapter));
  if (adapter == model->second.m_adapters.end()) {
    throw Problem{.m_kind = ProblemKind::kUnknownModel,
                  .m_detail = "model '" + body.m_model + "' has no adapter '" +
                              body.m_adapter + "'"};
  }
  artifact.m_adapter = adapter->second.m_id;
  artifact.m_version = adapter->second.m_version;
  return artifact;
}

// The parts of "/services/<service>/<path>".
struct ServicePath {
  ServiceId m_service;
  std::string m_path;
};

ServicePath SplitServicePath(const std::string& path) {
  const std::size_t start = kServicesPrefix.size();
  const std::size_t end = path.find('/', start);
  return {.m_service = ServiceId(path.substr(start, end - start)),
          .m_path = end == std::string::npos ? "/" : path.substr(end)};
}

// Rejects empty and dot segments and an encoded '.' or '/'. The endpoint could
// normalize such a path to another route than the one that was checked.
void CheckPath(const std::string& path) {
  std::string decoded = path;
  for (std::size_t at = decoded.find("%2"); at != std::string::npos;
       at = decoded.find("%2", at + 1)) {
    const char last = at + 2 < decoded.size() ? decoded[at + 2] : '\0';
    if (last == 'e' || last == 'E' || last == 'f' || last == 'F') {
      throw Problem{.m_kind = ProblemKind::kBadRequest,
                    .m_detail = "the path holds an encoded '.' or '/'"};
    }
  }
  const bool has_bad_segment = (path + "/").find("/../") != std::string::npos ||
                               (path + "/").find("/./") != std::string::npos ||
                               path.find("//") != std::string::npos;
  if (has_bad_segment) {
    throw Problem{.m_kind = ProblemKind::kBadRequest,
                  .m_detail = "the path holds an empty or dot segment"};
  }
}

void CheckKeyNotInPathOrBody(const CallerRequest& request,
                             const std::string& key) {
  if (ContainsKey(request.m_path, key) || ContainsKey(request.m_body, key)) {
    throw Problem{.m_kind = ProblemKind::kKeyInRequest,
                  .m_detail =
                      "the path or body contains the key; send it in "
                      "the Authorization header only"};
  }
}

Duration PatienceOf(const CallerRequest& request, Duration default_patience) {
  try {
    return ReadPatience(request, default_patience);
  } catch (const Error& error) {
    throw Problem{.m_kind = ProblemKind::kBadRequest, .m_detail = error.what()};
  }
}

}  // namespace

const documents::RouteSpec* FindRoute(
    const documents::PlainServiceSpec& service,
    std::string_view path) {
  const documents::RouteSpec* longest = nullptr;
  for (const documents::RouteSpec& route : service.m_routes) {
    const std::string_view prefix = route.m_path;
    const bool whole_segment =
        prefix.ends_with('/') || path.size() == prefix.size() ||
        (path.size() > prefix.size() && path[prefix.size()] == '/');
    const bool longer =
        longest == nullptr || prefix.size() > longest->m_path.size();
    if (path.starts_with(prefix) && whole_segment && longer) {
      longest = &route;
    }
  }
  return longest;
}

void CheckHeaders(const CallerRequest& request) {
  for (const std::string_view name : kUniqueHeaders) {
    if (CountHeader(request.m_headers, name) > 1) {
      throw Problem{.m_kind = ProblemKind::kConflictingHeaders,
                    .m_detail = "header '" + std::string(name) +
                                "' is given more than once"};
    }
  }
  if (CountHeader(request.m_headers, "content-length") > 0 &&
      CountHeader(request.m_headers, "transfer-encoding") > 0) {
    throw Problem{
        .m_kind = ProblemKind::kConflictingHeaders,
        .m_detail = "both Content-Length and Transfer-Encoding are given"};
  }
  const std::string* key =
      endpoint::FindHeader(request.m_headers, "Idempotency-Key");
  if (key != nullptr &&
      (key->empty() || key->size() > kMaxIdempotencyKeyBytes)) {
    throw Problem{.m_kind = ProblemKind::kBadRequest,
                  .m_detail = "the Idempotency-Key must have 1 to 255 bytes"};
  }
}

void RequestRouter::Handle(const Exchange& exchange) {
  try {
    if (HandleOperatorPath(*exchange)) {
      return;
    }
    CheckAcceptsRequests();
    CheckHeaders(exchange->request());
    const std::string& path = exchange->request().m_path;
    if (path.starts_with(kModelsPrefix)) {
      StartCompletion(exchange);
    } else if (path.starts_with(kServicesPrefix)) {
      StartService(exchange);
    } else {
      throw Problem{.m_kind = ProblemKind::kUnknownRoute,
                    .m_detail = "no such path"};
    }
  } catch (const Problem& problem) {
    m_context.m_metrics.CountUnattributedRefusal(problem.m_kind);
    SendProblem(*exchange, problem);
  }
}

bool RequestRouter::HandleOperatorPath(CallerExchange& exchange) {
  const std::string& path = exchange.request().m_path;
  if (path == "/healthz") {
    exchange.Send(kStatusOk, {{"Content-Type", "text/plain"}}, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = m_state.m_ready();
    exchange.Send(ready ? kStatusOk : kStatusUnavailable,
                  {{"Content-Type", "text/plain"}},
                  ready ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    exchange.Send(kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                  m_context.m_metrics.registry().ToPrometheusText());
  } else if (path == "/metrics.json") {
    exchange.Send(kStatusOk, {{"Content-Type", "application/json"}},
                  m_context.m_metrics.registry().ToJson());
  } else {
    return false;
  }
  return true;
}

void RequestRouter::CheckAcceptsRequests() const {
  constexpr Duration kRetryAfter = seconds(1);
  if (m_state.m_draining()) {
    throw Problem{.m_kind = ProblemKind::kDraining,
                  .m_detail = "this host is stopping; ask another one",
                  .m_retry_after = kRetryAfter};
  }
  if (!m_state.m_serving()) {
    throw Problem{.m_kind = ProblemKind::kNotServing,
                  .m_detail =
                      "this host cannot prove that its documents are "
                      "current; ask another one",
                  .m_retry_after = kRetryAfter};
  }
}

std::shared_ptr<const Principal> RequestRouter::RequirePrincipal(
    const std::optional<std::string>& key) {
  if (!key) {
    throw Problem{.m_kind = ProblemKind::kUnauthenticated,
                  .m_detail = "send the key as 'Authorization: Bearer <key>'"};
  }
  auto principal = m_context.m_documents.Authenticate(*key);
  if (!principal) {
    throw Problem{.m_kind = ProblemKind::kUnauthenticated,
                  .m_detail = "the key belongs to no client account"};
  }
  return principal;
}

void RequestRouter::StartCompletion(const Exchange& exchange) {
  const CallerRequest& request = exchange->request();
  const bool is_completion_path = request.m_path == "/v1/completions" ||
                                  request.m_path == "/v1/chat/completions";
  if (!is_completion_path || request.m_method != HttpMethod::kPost) {
    throw Problem{.m_kind = ProblemKind::kUnknownRoute,
                  .m_detail =
                      "use POST /v1/completions or POST "
                      "/v1/chat/completions"};
  }
  const auto key = FindKey(request.m_headers);
  auto principal = RequirePrincipal(key);
  CheckKeyNotInPathOrBody(request, *key);
  CompletionBody body;
  try {
    body = ParseCompletionBody(request.m_body,
                               m_context.m_settings.m_default_max_tokens);
  } catch (const Error& error) {
    throw Problem{.m_kind = ProblemKind::kBadRequest, .m_detail = error.what()};
  }
  endpoint::Artifact artifact = FindArtifact(*principal->m_document, body);
  const Duration patience =
      PatienceOf(request, principal->m_document->m_default_patience);
  std::make_shared<CompletionFlow>(m_context, exchange, std::move(principal),
                                   std::move(body), std::move(artifact),
                                   patience)
      ->Start();
}

ServiceRequest RequestRouter::ResolveService(
    const CallerRequest& request,
    const std::optional<std::string>& key) {
  CheckPath(request.m_path);
  const ServicePath path = SplitServicePath(request.m_path);
  const auto find_route = [&](const DocumentSet::DocumentPtr& document)
      -> const documents::RouteSpec* {
    const auto service = document->m_plain_services.find(path.m_service);
    return service == document->m_plain_services.end()
               ? nullptr
               : FindRoute(service->second, path.m_path);
  };
  ServiceRequest resolved{.m_service = path.m_service, .m_target = path.m_path};
  // A key that is given must be valid, even on an open route.
  if (key) {
    resolved.m_principal = RequirePrincipal(key);
    resolved.m_document = resolved.m_principal->m_document;
    resolved.m_route = find_route(resolved.m_document);
  } else {
    for (const auto& [service, document] : m_context.m_documents.documents()) {
      const documents::RouteSpec* route = find_route(document);
      if (route != nullptr && route->m_open) {
        resolved.m_document = document;
        resolved.m_route = route;
        break;
      }
    }
    if (resolved.m_route == nullptr) {
      RequirePrincipal(key);
    }
  }
  if (resolved.m_route == nullptr) {
    throw Problem{.m_kind = ProblemKind::kUnknownRoute,
                  .m_detail = "the account's document has no such route"};
  }
  return resolved;
}

void RequestRouter::StartService(const Exchange& exchange) {
  const CallerRequest& request = exchange->request();
  const auto key = FindKey(request.m_headers);
  ServiceRequest resolved = ResolveService(request, key);
  if (key) {
    CheckKeyNotInPathOrBody(request, *key);
    resolved.m_caller_key = *key;
  }
  const std::string query =
      RemoveKeyFromQuery(request.m_query, resolved.m_caller_key);
  if (!query.empty()) {
    resolved.m_target += "?" + query;
  }
  resolved.m_patience =
      PatienceOf(request, resolved.m_document->m_default_patience);
  std::make_shared<ServiceFlow>(m_context, exchange, std::move(resolved))
      ->Start();
}

}  // namespace hickoryloft::entry
