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

bool MemberView::RemoveLapsed(MonotonicTime now) {
  const bool removed = m_registrations.RemoveLapsed(now);
  if (removed) {
    BuildPeers();
  }
  return removed;
}

bool MemberView::Update(const std::map<std::string, keyvalue::KeyValue>& keys,
                        std::optional<MonotonicTime> keep_until) {
  const bool changed = m_registrations.Update(keys, keep_until);
  if (changed) {
    BuildPeers();
  }
  return changed;
}

const std::optional<PeerAddress>& MemberView::Parse(const std::string& key,
                                                    const Entry& entry) {
  Parsed& parsed = m_parsed[key];
  if (parsed.m_revision != entry.m_revision) {
    parsed = {.m_revision = entry.m_revision,
              .m_peer = ParseMember(entry.m_value)};
  }
  return parsed.m_peer;
}

void MemberView::BuildPeers() {
  std::erase_if(m_parsed, [this](const auto& item) {
    return !m_registrations.entries().contains(item.first);
  });
  std::map<HostId, PeerAddress> peers;
  std::map<HostId, const Entry*> newest;
  for (const auto& [key, entry] : m_registrations.entries()) {
    const std::optional<PeerAddress>& peer = Parse(key, entry);
    if (!peer || peer->m_host == m_own) {
      continue;
    }
    // A restarted host has two registrations until the old lease expires.
    const Entry*& best = newest[peer->m_host];
    if (best == nullptr || entry.Supersedes(*best)) {
      best = &entry;
      peers[peer->m_host] = *peer;
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
