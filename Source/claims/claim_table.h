// Decides which claims this host holds, acquires, releases or hands over. See
// docs/design/claims.md for the rules and their reasons.

#ifndef SOURCE_CLAIMS_CLAIM_TABLE_H_
#define SOURCE_CLAIMS_CLAIM_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "claims/claim_effects.h"
#include "claims/lease_clock.h"

namespace hickoryloft::claims {

// One host's state of all claims of the fleet. Inputs are method calls with the
// current time; TakeEffects() returns the effects to run. Not thread-safe.
class ClaimTable {
 public:
  ClaimTable(ClaimSettings settings,
             HostId self,
             Incarnation incarnation,
             std::uint64_t seed);

  // Sets the live members, this host included.
  void SetHosts(std::vector<ClaimHost> hosts, MonotonicTime now);
  // Sets the claims that should exist.
  void SetWanted(const std::vector<WantedClaim>& claims, MonotonicTime now);
  // Records that a call sent at `sent_at` granted or renewed the short lease
  // and that the member key is bound to it.
  void OnShortLease(std::int64_t lease, MonotonicTime sent_at);
  void OnShortLeaseLost();
  // Does the same for the long lease and the long-lease key.
  void OnLongLease(std::int64_t lease, MonotonicTime sent_at);
  void OnLongLeaseLost();

  // Handles the result of ReadEvidence; `evidence` is absent if the read
  // failed.
  void OnEvidence(const ClaimName& claim,
                  const std::optional<ClaimEvidence>& evidence,
                  MonotonicTime now);
  // Handles the result of WriteClaim; `revision` is the key's new revision if
  // it was written.
  void OnWrite(const ClaimName& claim,
               std::uint64_t nonce,
               WriteOutcome outcome,
               Revision revision,
               MonotonicTime now);
  // Handles the successor's answer to `request`, which was sent at `sent_at`.
  void OnTakeoverDeferral(const RequestTakeoverDeferral& request,
                          MonotonicTime sent_at,
                          const TakeoverDeferralReply& answer);

  // Handles a holder's request that this host, its successor, defer its
  // takeover. Returns the reply.
  TakeoverDeferralReply OnTakeoverDeferralRequest(const ClaimName& claim,
                                                  FencingNumber fence,
                                                  std::int64_t successor_lease,
                                                  MonotonicTime now);
  // Handles another host's announcement, or a claim record read at start.
  void OnAnnounced(const AnnounceClaim& notice, MonotonicTime now);
  // Handles the state handed over by the previous holder, whose fencing number
  // was `fence`.
  void OnHandOver(const ClaimName& claim,
                  FencingNumber fence,
                  std::string payload,
                  MonotonicTime now);

  // Stops holding the claim at once, releases it and then sends `payload` to
  // `next` unless `next` is empty.
  void Release(const ClaimName& claim,
               const HostId& next,
               std::string payload,
               MonotonicTime now);
  // Stops acquiring claims; claims that are held stay held.
  void StopAcquiring() { m_acquiring = false; }

  // Drops claims whose validity lapsed and starts reads and writes that are
  // due. Call at least every m_retry_interval.
  void Tick(MonotonicTime now);

  // Returns the fencing number if this host holds `claim` at `now`.
  std::optional<FencingNumber> HeldFence(const ClaimName& claim,
                                         MonotonicTime now) const;
  // Returns the last known holder.
  std::optional<HostId> Holder(const ClaimName& claim) const;
  // Returns the last known fencing number; 0 if none.
  FencingNumber KnownFence(const ClaimName& claim) const;
  // Returns the host that should get the claim when this one gives it up.
  std::optional<HostId> NextHost(const ClaimName& claim) const;
  std::vector<ClaimName> Held(MonotonicTime now) const;
  std::vector<ClaimName> Known() const;
  // Whether a release is still being written.
  bool Releasing() const;

  std::vector<ClaimEffect> TakeEffects();

 private:
  enum class WritePurpose { kAcquire, kConfirm, kRelease, kDelete };

  struct PendingWrite {
    WritePurpose m_purpose = WritePurpose::kAcquire;
    Revision m_expected = 0;
    ClaimRecord m_record;
    // The fencing number of the released record that an acquisition replaces.
    std::optional<FencingNumber> m_released_fence;
  };

  struct HandOverState {
    FencingNumber m_fence = 0;
    std::string m_payload;
  };

  // This host's place in the rendezvous order of hosts for a claim.
  struct Preference {
    std::size_t m_rank = 0;  // Among hosts that are not leaving; 0 is first.
    HostId m_preferred;
    HostId m_successor;  // Named by this host if it acquires the claim.
    std::int64_t m_successor_lease = 0;
  };

  struct Entry {
    bool m_wanted = false;
    bool m_acts_in_outage = false;
    Preference m_preference;

    HostId m_holder;  // Last known; empty if none.
    Incarnation m_holder_incarnation = 0;
    FencingNumber m_fence = 0;  // Last known.
    std::optional<MonotonicTime> m_unheld_since;

    // Record as last read or written by this host.
    std::optional<StoredClaim> m_stored;
    bool m_held = false;
    MonotonicTime m_held_since{};
    // As holder: the successor takes over no earlier.
    MonotonicTime m_deferral_until{};
    MonotonicTime m_deferral_requested_at{};

    bool m_reading = false;
    std::optional<PendingWrite> m_write;
    // A write of unknown outcome, which may still be applied at its expected
    // revision.
    std::optional<PendingWrite> m_unsettled;
    MonotonicTime m_retry_at{};

    // As successor: this host takes over no earlier.
    MonotonicTime m_takeover_deferred_until{};
    // When the successor in m_stored was first read without its long-lease key.
    std::optional<MonotonicTime> m_successor_gone_since;

    std::optional<HandOverState> m_received;  // From the previous holder.
    std::optional<HandOverState> m_outgoing;  // For m_next.
    HostId m_next;
    bool m_handed_over = false;  // The previous holder sent its state here.
    bool m_releasing = false;
  };

  Preference MakePreference(const ClaimName& claim) const;
  const ClaimHost* FindHost(const HostId& host) const;
  bool HolderInView(const Entry& entry) const;
  bool IsOwnRecord(const ClaimRecord& record) const;
  bool ValidAt(const Entry& entry, MonotonicTime now) const;
  bool InContact(MonotonicTime now) const;
  void UpdateUnheld(Entry& entry, MonotonicTime now) const;

  void TickHeld(const ClaimName& claim, Entry& entry, MonotonicTime now);
  void TickUnheld(const ClaimName& claim, Entry& entry, MonotonicTime now);
  void TickReleasing(const ClaimName& claim, Entry& entry, MonotonicTime now);
  void RequestDeferral(const ClaimName& claim, Entry& entry, MonotonicTime now);
  void MaintainRecord(const ClaimName& claim, Entry& entry, MonotonicTime now);
  bool NeedsSuccessor(const Entry& entry) const;
  void Confirm(const ClaimName& claim, Entry& entry, ClaimRecord record);
  bool ShouldMove(const Entry& entry, MonotonicTime now) const;
  bool AcquisitionDue(const Entry& entry, MonotonicTime now) const;

  bool MayAcquire(Entry& entry,
                  const ClaimEvidence& evidence,
                  MonotonicTime now);
  void Acquire(const ClaimName& claim, Entry& entry);
  void ReannounceHolder(const ClaimName& claim,
                        Entry& entry,
                        MonotonicTime now);
  void ApplyStored(Entry& entry,
                   const std::optional<StoredClaim>& stored,
                   MonotonicTime now);
  void ResolveUnsettled(const ClaimName& claim,
                        Entry& entry,
                        const std::optional<StoredClaim>& stored,
                        MonotonicTime now);
  void CheckHeld(const ClaimName& claim,
                 Entry& entry,
                 const std::optional<StoredClaim>& stored,
                 MonotonicTime now);
  void OnWritten(const ClaimName& claim,
                 Entry& entry,
                 const PendingWrite& write,
                 Revision revision,
                 MonotonicTime now);
  void OnAcquired(const ClaimName& claim,
                  Entry& entry,
                  const PendingWrite& write,
                  MonotonicTime now);
  void OnReleased(const ClaimName& claim, Entry& entry, MonotonicTime now);
  void StopHolding(const ClaimName& claim, Entry& entry, MonotonicTime now);
  void SendWrite(const ClaimName& claim, Entry& entry, PendingWrite write);
  void StartRead(const ClaimName& claim, Entry& entry);

  ClaimSettings m_settings;
  HostId m_self;
  Incarnation m_incarnation;
  RandomEngine m_random;
  std::vector<ClaimHost> m_hosts;
  std::map<HostId, MonotonicTime> m_member_since;
  std::int64_t m_lease = 0;
  std::int64_t m_long_lease = 0;
  LeaseClock m_short_lease_clock;
  LeaseClock m_long_lease_clock;
  bool m_acquiring = true;
  std::map<ClaimName, Entry> m_entries;
  std::vector<ClaimEffect> m_effects;
};

}  // namespace hickoryloft::claims

#endif  // SOURCE_CLAIMS_CLAIM_TABLE_H_
