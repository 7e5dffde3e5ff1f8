#include "coordinator/platform_clients.h"

#include <map>
#include <string>
#include <utility>

#include "keyvalue/etcd_client.h"
#include "keyvalue/host_list_json.h"
#include "keyvalue/http_host_list.h"
#include "keyvalue/memory_key_value_service.h"
#include "keyvalue/static_host_list.h"
#include "settings/settings_file.h"

namespace hickoryloft::coordinator {

namespace {

using KeyValueFactory =
    std::unique_ptr<keyvalue::KeyValueService> (*)(EventLoop&,
                                                   const settings::Settings&);

std::unique_ptr<keyvalue::KeyValueService> MakeEtcd(
    EventLoop& loop,
    const settings::Settings& settings) {
  return std::make_unique<keyvalue::EtcdClient>(
      loop, keyvalue::EtcdClientSettings{
                .m_address = settings.String("platform.address"),
                .m_port = static_cast<std::uint16_t>(
                    settings.Integer("platform.port")),
                .m_host = HostId(settings.String("host.name")),
                .m_timeout = settings.Millis("platform.timeout_ms"),
            });
}

std::unique_ptr<keyvalue::KeyValueService> MakeMemory(
    EventLoop& loop,
    const settings::Settings& /*settings*/) {
  return std::make_unique<keyvalue::MemoryKeyValueService>(loop);
}

}  // namespace

std::unique_ptr<keyvalue::KeyValueService> MakeKeyValueService(
    EventLoop& loop,
    const settings::Settings& settings) {
  static const std::map<std::string, KeyValueFactory> kFactories = {
      {"etcd", &MakeEtcd},
      {"memory", &MakeMemory},
  };
  return kFactories.at(settings.String("platform.kind"))(loop, settings);
}

std::unique_ptr<keyvalue::HostList> MakeHostList(
    EventLoop& loop,
    const settings::Settings& settings) {
  if (!settings.String("host_list.address").empty()) {
    return std::make_unique<keyvalue::HttpHostList>(
        loop, keyvalue::HttpHostListSettings{
                  .m_address = settings.String("host_list.address"),
                  .m_port = static_cast<std::uint16_t>(
                      settings.Integer("host_list.port")),
                  .m_path = settings.String("host_list.path"),
                  .m_host = HostId(settings.String("host.name")),
                  .m_timeout = settings.Millis("platform.timeout_ms"),
              });
  }
  std::vector<keyvalue::ListedTarget> targets;
  const std::string& file = settings.String("host_list.file");
  if (!file.empty()) {
    targets = keyvalue::ParseHostList(settings::ReadFile(file));
  }
  return std::make_unique<keyvalue::StaticHostList>(loop, std::move(targets));
}

}  // namespace hickoryloft::coordinator
