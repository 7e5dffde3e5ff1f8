#include "endpoint/served_name.h"

namespace hickoryloft::endpoint {

std::string ServedName(const Artifact& artifact) {
  std::string name = artifact.m_model.value();
  if (!artifact.m_adapter.empty()) {
    name += ':';
    name += artifact.m_adapter.value();
  }
  name += '@';
  name += artifact.m_version;
  return name;
}

Artifact ParseServedName(std::string_view name) {
  const std::size_t at = name.rfind('@');
  const std::size_t slash = name.find('/');
  if (at == std::string_view::npos || at + 1 == name.size() ||
      slash == std::string_view::npos || slash == 0 || slash + 1 >= at) {
    throw Error(ErrorCode::kInvalidArgument,
                "'" + std::string(name) +
                    "' is not of the form service/model[:adapter]@version");
  }
  const std::string_view model = name.substr(0, at);
  const std::size_t colon = model.find(':');
  Artifact artifact{.m_model = ModelId(std::string(model.substr(0, colon))),
                    .m_adapter = AdapterId(),
                    .m_version = std::string(name.substr(at + 1))};
  if (colon != std::string_view::npos) {
    artifact.m_adapter = AdapterId(std::string(model.substr(colon + 1)));
  }
  return artifact;
}

}  // namespace hickoryloft::endpoint
