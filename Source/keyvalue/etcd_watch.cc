#include "keyvalue/etcd_watch.h"

#include <algorithm>
#include <utility>

#include "keyvalue/etcd_json.h"

namespace hickoryloft::keyvalue {

void EtcdWatch::Feed(std::string_view bytes) {
  m_partial.append(bytes);
  if (m_partial.size() > kMaxLineBytes) {
    End({ErrorCode::kProtocol, "a line of the watch is too long"});
    return;
  }
  const std::weak_ptr<bool> alive = m_alive;
  while (!alive.expired() && m_ended) {
    const std::size_t end = m_partial.find('\n');
    if (end == std::string::npos) {
      return;
    }
    const std::string line = m_partial.substr(0, end);
    m_partial.erase(0, end + 1);
    HandleLine(line);
  }
}

void EtcdWatch::End(const Error& error) {
  if (const auto ended = std::exchange(m_ended, nullptr)) {
    ended(error);
  }
}

void EtcdWatch::HandleLine(const std::string& line) {
  WatchBatch batch;
  try {
    batch = ParseLine(line);
  } catch (const Error& error) {
    End(error);
    return;
  }
  m_seen = std::max(m_seen, batch.m_revision);
  if (batch.m_events.empty()) {
    return;
  }
  // Copied, because the callback may destroy the watch.
  const auto changed = m_changed;
  changed(std::move(batch));
}

WatchBatch EtcdWatch::ParseLine(const std::string& line) const {
  const nlohmann::json answer = ParseEtcdObject(line);
  const nlohmann::json result = EtcdMember(answer, "result");
  if (!result.is_object()) {
    throw Error(ErrorCode::kProtocol, "the service refused the watch");
  }
  if (result.value("canceled", nlohmann::json()) == true) {
    throw Error(ErrorCode::kUnavailable,
                "the service ended the watch; its history may be too short");
  }
  WatchBatch batch{.m_revision = EtcdRevision(result)};
  if (result.value("created", nlohmann::json()) == true) {
    // This is the service's revision; changes up to it may still arrive.
    batch.m_revision = 0;
  }
  for (const nlohmann::json& object : EtcdMember(result, "events")) {
    WatchEvent event = ParseEtcdEvent(object);
    if (event.m_item.m_mod_revision > m_seen) {
      batch.m_events.push_back(std::move(event));
    }
  }
  return batch;
}

}  // namespace hickoryloft::keyvalue
