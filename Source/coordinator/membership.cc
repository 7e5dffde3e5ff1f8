#include "coordinator/membership.h"

#include <utility>

#include "coordinator/keys.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kRetryInterval = milliseconds(1000);

}  // namespace

Membership::Membership(EventLoop& loop,
                       keyvalue::KeyValueService& key_values,
                       HostId self,
                       std::function<void(const MemberChange&)> changed)
    : m_loop(loop),
      m_key_values(key_values),
      m_self(std::move(self)),
      m_changed(std::move(changed)) {}

void Membership::Start() {
  Load();
}

void Membership::OnPeerChange(const MemberChange& change) {
  // This host's own watch delivers every change in order; a peer's change may
  // be newer than the last one delivered.
  if (!m_watch) {
    Apply(change);
  }
}

void Membership::Apply(const MemberChange& change) {
  if (m_view.Apply(change)) {
    m_changed(change);
  }
  UpdateWatch();
}

void Membership::UpdateWatch() {
  // A host that is not yet a member cannot determine its watchers, so it
  // watches the keys itself.
  const bool should_watch =
      m_view.Find(m_self) == nullptr || m_view.IsWatcher(m_self);
  if (!should_watch) {
    m_watch.reset();
  } else if (!m_watch && !m_loading && !m_retry_timer) {
    Load();
  }
}

void Membership::Load() {
  m_loading = true;
  m_retry_timer.reset();
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.GetPrefix(
      kMembersPrefix, [this, alive](const Result<keyvalue::ReadReply>& result) {
        if (!alive.expired()) {
          m_loading = false;
          OnLoaded(result);
        }
      });
}

void Membership::OnLoaded(const Result<keyvalue::ReadReply>& result) {
  if (!result) {
    m_log.Warn("Cannot read the member keys; retrying.",
               {{"reason", result.error().what()}});
    RetryLater();
    return;
  }
  MemberChange change{.m_revision = result.value().m_revision, .m_full = true};
  m_watched_records.clear();
  for (const keyvalue::KeyValue& item : result.value().m_items) {
    try {
      const MemberRecord record = ParseMemberRecord(item);
      m_watched_records[item.m_key] = record;
      change.m_present.push_back(record);
    } catch (const Error& error) {
      m_log.Warn("Ignoring an invalid member key.", {{"reason", error.what()}});
    }
  }
  m_watch = m_key_values.WatchPrefix(
      kMembersPrefix, change.m_revision,
      [this](const keyvalue::WatchBatch& batch) { OnBatch(batch); },
      [this](const Error& error) {
        m_log.Warn("The watch on the member keys ended; retrying.",
                   {{"reason", error.what()}});
        m_watch.reset();
        RetryLater();
      });
  Apply(change);
}

void Membership::OnBatch(const keyvalue::WatchBatch& batch) {
  MemberChange change{.m_revision = batch.m_revision};
  for (const keyvalue::WatchEvent& event : batch.m_events) {
    const std::string& key = event.m_item.m_key;
    try {
      if (!event.m_deleted) {
        const MemberRecord record = ParseMemberRecord(event.m_item);
        m_watched_records[key] = record;
        std::erase_if(change.m_removed, [&](const MemberRecord& removed) {
          return removed.m_member.m_host == record.m_member.m_host &&
                 removed.m_member.m_incarnation ==
                     record.m_member.m_incarnation;
        });
        change.m_present.push_back(record);
        continue;
      }
      const auto found = m_watched_records.find(key);
      if (found != m_watched_records.end()) {
        change.m_removed.push_back(found->second);
        m_watched_records.erase(found);
      }
    } catch (const Error& error) {
      m_log.Warn("Ignoring an invalid member key.", {{"reason", error.what()}});
    }
  }
  Apply(change);
}

void Membership::RetryLater() {
  m_retry_timer = m_loop.After(kRetryInterval, [this] {
    m_retry_timer.reset();
    UpdateWatch();
  });
}

}  // namespace hickoryloft::coordinator
