#include "coordinator/daemon.h"

#include <csignal>
#include <filesystem>
#include <map>
#include <memory>
#include <vector>

#include "base/event_loop.h"
#include "base/log.h"
#include "coordinator/admin_server.h"
#include "coordinator/coordinator.h"
#include "coordinator/modules.h"
#include "coordinator/platform_clients.h"
#include "coordinator/settings_table.h"
#include "documents/parse_document.h"
#include "endpoint/http_order_service.h"
#include "endpoint/pooled_http_client.h"
#include "settings/settings_file.h"

namespace hickoryloft::coordinator {

namespace {

// Time for reading the fleet's documents at start, before the documents of this
// host's directory are stored.
constexpr Duration kStoreDocumentsDelay = milliseconds(500);

void ConfigureLogging(const settings::Settings& settings) {
  static const std::map<std::string, LogLevel> kLevels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warn", LogLevel::kWarn},
      {"error", LogLevel::kError},
  };
  ConfigureLogs(kLevels.at(settings.String("log.level")),
                settings.String("log.format") == "json" ? LogFormat::kJson
                                                        : LogFormat::kText);
}

AdminSettings ParseAdminSettings(const settings::Settings& settings) {
  const std::string& key_file = settings.String("admin.operator_key_file");
  return {
      .m_address = settings.String("admin.address"),
      .m_port = static_cast<std::uint16_t>(settings.Integer("admin.port")),
      .m_operator_key =
          key_file.empty() ? std::string() : settings::LoadSecret(key_file),
  };
}

// Reads the documents of a directory and checks them. Returns their texts by
// service. Throws Error if the directory cannot be read or a document is
// invalid.
std::map<ServiceId, std::string> ReadDocumentDirectory(
    const std::string& directory) {
  std::map<ServiceId, std::string> texts;
  if (directory.empty()) {
    return texts;
  }
  std::error_code failure;
  for (const auto& item :
       std::filesystem::directory_iterator(directory, failure)) {
    if (item.path().extension() == ".toml") {
      const ServiceId service(item.path().stem().string());
      texts[service] = settings::ReadFile(item.path().string());
      documents::ParseDocument(service, texts[service], item.path().string());
    }
  }
  if (failure) {
    throw Error(ErrorCode::kIo, directory + ": " + failure.message());
  }
  return texts;
}

void StoreDocuments(Coordinator& coordinator,
                    const std::map<ServiceId, std::string>& texts) {
  const auto& stored = coordinator.documents().table().texts();
  for (const auto& [service, text] : texts) {
    const auto found = stored.find(service);
    if (found != stored.end() && found->second.m_text == text) {
      continue;
    }
    const Revision expected =
        found == stored.end() ? 0 : found->second.m_revision;
    coordinator.Write(
        {service, expected, text},
        [name = service.value()](const WriteReport& report) {
          if (report.m_state != WriteState::kAccepted) {
            Logger("documents")
                .Warn("A document of documents.directory was not accepted.",
                      {{"service", name}, {"reason", report.m_detail}});
          }
        });
  }
}

}  // namespace

void RunDaemon(const settings::Settings& settings) {
  ConfigureLogging(settings);
  const CoordinatorSettings core_settings = ParseCoordinatorSettings(settings);
  const AdminSettings admin_settings = ParseAdminSettings(settings);
  const auto texts =
      ReadDocumentDirectory(settings.String("documents.directory"));

  EventLoop loop;
  const auto key_values = MakeKeyValueService(loop, settings);
  const auto host_list = MakeHostList(loop, settings);
  endpoint::PooledHttpClient endpoint_client(loop);
  endpoint::HttpOrderService orders(loop, endpoint_client);
  Coordinator coordinator(loop, *key_values, core_settings);
  coordinator.SetModules(
      MakeModules({coordinator, settings, *host_list, orders}));
  const AdminServer admin(coordinator, admin_settings);

  const auto stop = [&] { coordinator.Stop([&loop] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  coordinator.Start();
  const auto store_timer = loop.After(
      kStoreDocumentsDelay, [&] { StoreDocuments(coordinator, texts); });
  loop.Run();
  Logger("coordinator").Info("The planned stop is complete.");
}

}  // namespace hickoryloft::coordinator
