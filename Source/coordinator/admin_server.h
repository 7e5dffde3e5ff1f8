// The HTTP interface for operators: documents, status, metrics, health.

#ifndef SOURCE_COORDINATOR_ADMIN_SERVER_H_
#define SOURCE_COORDINATOR_ADMIN_SERVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "coordinator/coordinator.h"

struct evhttp;
struct evhttp_request;

namespace hickoryloft::coordinator {

struct AdminSettings {
  std::string m_address;
  std::uint16_t m_port = 0;
  std::string m_operator_key;  // Empty: all /admin/ pages are refused.
};

// Serves the pages that docs/ARCHITECTURE.md lists. Use on the loop's thread
// only.
class AdminServer {
 public:
  // Throws Error(kIo) if it cannot listen. `coordinator` must outlive it.
  AdminServer(Coordinator& coordinator, AdminSettings settings);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Returns the bound port.
  std::uint16_t port() const { return m_port; }

 private:
  static void OnRequest(evhttp_request* request, void* self);

  void Handle(evhttp_request* request);
  void HandleAdmin(evhttp_request* request, const std::string& path);
  void HandleDocument(evhttp_request* request, const ServiceId& service);
  void GetDocument(evhttp_request* request, const ServiceId& service);
  void ChangeDocument(evhttp_request* request, const ServiceId& service);
  bool Authorized(evhttp_request* request) const;

  Coordinator& m_coordinator;
  AdminSettings m_settings;
  evhttp* m_server = nullptr;
  std::uint16_t m_port = 0;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_ADMIN_SERVER_H_
