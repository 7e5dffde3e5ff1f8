#include "host/member_view.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "base/socket_address.h"

namespace hickoryloft::host {

namespace {

const Logger kLog("members");

std::optional<PeerAddress> ParseMember(const std::string& value) {
  const nlohmann::json member =
      nlohmann::json::parse(value, nullptr, /*allow_exceptions=*/false);
  try {
    const auto port = member.at("port").get<std::int64_t>();
    const auto address = member.at("address").get<std::string>();
    if (port < 1 || port > std::numeric_limits<std::uint16_t>::max() ||
        !IsIpNumber(address)) {
      kLog.Warn(
          "a host registration needs an IP number and a port from 1 to "
          "65535; ignoring it",
          {{"address", address}, {"port", port}});
      return std::nullopt;
    }
    return PeerAddress{
        .m_host = HostId(member.at("host").get<std::string>()),
        .m_incarnation = member.at("incarnation").get<Incarnation>(),
        .m_failure_domain =
            FailureDomainId(member.at("failure_domain").get<std::string>()),
        .m_capacity = member.value("capacity", 0.0),
        .m_address = address,
        .m_port = static_cast<std::uint16_t>(port)};
  } catch (const nlohmann::json::exception& error) {
    kLog.Warn("cannot parse a host registration; ignoring it",
              {{"reason", error.what()}});
    return std::nullopt;
  }
}

}  // namespace

bool MemberView::RemoveMissing(
    const std::map<std::string, keyvalue::KeyValue>& keys,
    std::optional<MonotonicTime> keep_until) {
  const std::size_t before = m_registered.size();
  for (auto at = m_registered.begin(); at != m_registered.end();) {
    auto& [key, registered] = *at;
    if (!keys.contains(key) && keep_until && !registered.m_kept_until) {
      kLog.Info("host registration lapsed; kept for a grace period",
                {{"key", key}});
      registered.m_kept_until = keep_until;
    }
    const bool remove = !keys.contains(key) && !registered.m_kept_until;
    at = remove ? m_registered.erase(at) : std::next(at);
  }
  return m_registered.size() < before;
}

bool MemberView::RemoveLapsed(MonotonicTime now) {
  const bool removed =
      std::erase_if(m_registered, [now](const auto& registered) {
        const auto& kept_until = registered.second.m_kept_until;
        return kept_until && now >= *kept_until;
      }) > 0;
  if (removed) {
    BuildPeers();
  }
  return removed;
}

bool MemberView::Update(const std::map<std::string, keyvalue::KeyValue>& keys,
                        std::optional<MonotonicTime> keep_until) {
  bool changed = RemoveMissing(keys, keep_until);
  for (auto item = keys.lower_bound(kPrefix);
       item != keys.end() && item->first.starts_with(kPrefix); ++item) {
    Registered& registered = m_registered[item->first];
    const bool lapsed = registered.m_kept_until.has_value();
    registered.m_kept_until.reset();
    if (registered.m_revision == item->second.m_mod_revision && !lapsed) {
      continue;
    }
    registered = {.m_revision = item->second.m_mod_revision,
                  .m_peer = ParseMember(item->second.m_value)};
    changed = true;
  }
  if (changed) {
    BuildPeers();
  }
  return changed;
}

void MemberView::BuildPeers() {
  std::map<HostId, PeerAddress> peers;
  std::map<HostId, std::pair<bool, Revision>> newest;
  for (const auto& [key, registered] : m_registered) {
    if (!registered.m_peer || registered.m_peer->m_host == m_own) {
      continue;
    }
    // A restarted host has two registrations until the old lease expires. A
    // restored service may give a new one a lower revision than a lapsed one.
    const std::pair<bool, Revision> rank = {
        !registered.m_kept_until.has_value(), registered.m_revision};
    std::pair<bool, Revision>& best = newest[registered.m_peer->m_host];
    if (rank > best) {
      best = rank;
      peers[registered.m_peer->m_host] = *registered.m_peer;
    }
  }
  const auto before = std::exchange(m_peers, std::move(peers));
  LogChanges(before);
}

void MemberView::LogChanges(const std::map<HostId, PeerAddress>& before) const {
  for (const auto& [host, peer] : before) {
    if (!m_peers.contains(host)) {
      kLog.Info("another host left the fleet", {{"host", host.value()}});
    }
  }
  for (const auto& [host, peer] : m_peers) {
    if (!before.contains(host)) {
      kLog.Info("another host joined the fleet",
                {{"host", host.value()},
                 {"address", peer.m_address},
                 {"incarnation", peer.m_incarnation}});
    }
  }
}

std::string RegistrationKey(const HostSettings& settings,
                            Incarnation incarnation) {
  return MemberView::kPrefix + settings.m_host.value() + "/" +
         std::to_string(incarnation);
}

std::string RegistrationText(const HostSettings& settings,
                             Incarnation incarnation) {
  return nlohmann::json{{"host", settings.m_host.value()},
                        {"incarnation", incarnation},
                        {"address", settings.m_address},
                        {"port", settings.m_peer_port},
                        {"failure_domain", settings.m_failure_domain.value()},
                        {"capacity", settings.m_capacity}}
      .dump();
}

}  // namespace hickoryloft::host
