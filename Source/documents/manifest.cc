#include "documents/manifest.h"

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace hickoryloft::documents {

std::string FormatManifest(const Manifest& manifest) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, entry] : manifest) {
    json[service.value()] = {{"revision", entry.m_revision},
                             {"removed", entry.m_removed}};
  }
  return json.dump();
}

Manifest ParseManifest(const std::string& text) {
  try {
    Manifest manifest;
    const nlohmann::json json = nlohmann::json::parse(text);
    for (const auto& [service, entry] : json.items()) {
      manifest[ServiceId(service)] = {
          .m_revision = entry.at("revision").get<Revision>(),
          .m_removed = entry.at("removed").get<bool>(),
      };
    }
    return manifest;
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorCode::kProtocol, "cannot parse the documents' manifest: " +
                                          std::string(error.what()));
  }
}

bool AddToManifest(Manifest& manifest,
                   const ServiceId& service,
                   const ManifestEntry& entry) {
  ManifestEntry& current = manifest[service];
  if (current.m_revision >= entry.m_revision) {
    return false;
  }
  current = entry;
  return true;
}

}  // namespace hickoryloft::documents
