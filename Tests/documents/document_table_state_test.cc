// A host that may serve has applied every document that was accepted longer ago
// than the freshness limit, and no host ever reverts to an older revision.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

#include "documents/acceptance_vote.h"
#include "documents/document_table.h"
#include "documents/freshness_tracker.h"

using namespace hickoryloft;
using namespace hickoryloft::documents;

namespace {

constexpr std::size_t kHosts = 5;
constexpr Duration kLimit = seconds(3);
constexpr std::uint64_t kDigest = 7;
const ServiceId kServices[] = {ServiceId("returns"), ServiceId("visits")};

enum class Kind {
  kPut,
  kRemove,
  kRead,
  kAsk,
  kHeartbeat,
  kAdvance,
  kService,
  kPartition
};

struct Step {
  Kind m_kind = Kind::kAdvance;
  std::size_t m_host = 0;
  unsigned m_choice = 0;
};

void showValue(const Step& step, std::ostream& out) {
  out << '{' << static_cast<int>(step.m_kind) << ',' << step.m_host << ','
      << step.m_choice << '}';
}

struct Host {
  HostId m_id;
  DocumentTable m_table;
  FreshnessTracker m_tracker{kLimit};
  bool m_partitioned = false;  // Partitioned from the other hosts.
};

struct Accepted {
  Revision m_revision = 0;
  MonotonicTime m_at;
};

class Fleet {
 public:
  Fleet() {
    std::vector<HostId> ids;
    for (std::size_t i = 0; i < kHosts; ++i) {
      ids.emplace_back("host" + std::to_string(i));
    }
    for (const HostId& id : ids) {
      m_hosts.emplace_back().m_id = id;
      m_hosts.back().m_tracker.SetMembers(ids, kDigest, id);
    }
  }

  void Run(const Step& step) {
    Host& host = m_hosts[step.m_host];
    const ServiceId& service = kServices[step.m_choice % 2];
    switch (step.m_kind) {
      case Kind::kPut:
        return Change(host, service, false, step.m_choice);
      case Kind::kRemove:
        return Change(host, service, true, step.m_choice);
      case Kind::kRead:
        return Read(host);
      case Kind::kAsk:
        return Ask(host, m_hosts[step.m_choice % kHosts]);
      case Kind::kHeartbeat:
        return Heartbeat(host, step.m_choice);
      case Kind::kAdvance:
        m_now += milliseconds(100) * step.m_choice;
        return;
      case Kind::kService:
        m_service_up = step.m_choice % 2 == 0;
        return;
      case Kind::kPartition:
        host.m_partitioned = step.m_choice % 2 == 0;
        return;
    }
  }

  void Check() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      const Host& host = m_hosts[i];
      const Revision applied = host.m_table.applied_revision();
      RC_ASSERT(applied >= m_applied[i]);
      m_applied[i] = applied;
      for (const Document& document : host.m_table.documents()) {
        Revision& seen = m_seen[i][document.m_service];
        RC_ASSERT(document.m_revision >= seen);
        seen = document.m_revision;
      }
      const auto until = host.m_tracker.ServeUntil();
      if (!until || *until <= m_now) {
        continue;
      }
      ++m_served;
      for (const Accepted& accepted : m_accepted) {
        RC_ASSERT(applied >= accepted.m_revision ||
                  m_now < accepted.m_at + kLimit);
      }
    }
  }

  std::size_t served() const { return m_served; }
  std::size_t accepted() const { return m_accepted.size(); }

 private:
  bool Connected(const Host& a, const Host& b) const {
    return &a == &b || (!a.m_partitioned && !b.m_partitioned);
  }

  // Stores and lists a document, then sends it to each connected member whose
  // bit is set in `asked`.
  void Change(Host& writer,
              const ServiceId& service,
              bool remove,
              unsigned asked) {
    if (!m_service_up) {
      return;
    }
    const Revision revision = ++m_revision;
    m_texts[service] = {revision, "default_patience_ms = 5\n"};
    AddToManifest(m_manifest, service, {revision, remove});
    m_manifest_revision = ++m_revision;
    Fetch(writer);
    std::vector<HostId> ids;
    for (const Host& host : m_hosts) {
      ids.push_back(host.m_id);
    }
    AcceptanceVote vote(m_manifest_revision, ids, kDigest);
    for (std::size_t i = 0; i < kHosts; ++i) {
      Host& host = m_hosts[i];
      if (!Connected(writer, host) || ((asked >> i) & 1U) == 0) {
        continue;
      }
      Fetch(host);
      vote.OnAck(host.m_id, host.m_table.applied_revision(), kDigest);
    }
    if (vote.accepted()) {
      m_accepted.push_back({m_manifest_revision, m_now});
    }
  }

  void Fetch(Host& host) {
    for (const auto& [service, text] : m_texts) {
      host.m_table.AddText(service, text);
    }
    host.m_table.SetManifest(m_manifest, m_manifest_revision);
    host.m_table.Advance();
    host.m_tracker.OnApplied(host.m_table.applied_revision());
  }

  void Read(Host& host) {
    if (!m_service_up) {
      return;
    }
    host.m_tracker.OnProof({m_manifest_revision, m_now});
    // The host reads only the manifest; texts may be fetched later or never.
    host.m_table.SetManifest(m_manifest, m_manifest_revision);
    host.m_table.Advance();
    host.m_tracker.OnApplied(host.m_table.applied_revision());
  }

  void Ask(Host& host, const Host& source) {
    const auto& proof = source.m_tracker.proof();
    if (Connected(host, source) && proof && m_now < proof->m_began + kLimit) {
      host.m_tracker.OnProof(*proof);
    }
  }

  void Heartbeat(Host& host, unsigned asked) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      const Host& peer = m_hosts[i];
      if (&peer != &host && Connected(host, peer) && ((asked >> i) & 1U) != 0) {
        host.m_tracker.OnHeartbeat(peer.m_id, peer.m_table.applied_revision(),
                                   kDigest, m_now);
      }
    }
  }

  MonotonicTime m_now{seconds(100)};
  bool m_service_up = true;
  Revision m_revision = 1;
  std::map<ServiceId, DocumentText> m_texts;
  Manifest m_manifest;
  Revision m_manifest_revision = 0;
  std::vector<Host> m_hosts;
  std::vector<Accepted> m_accepted;
  std::map<std::size_t, Revision> m_applied;
  std::map<std::size_t, std::map<ServiceId, Revision>> m_seen;
  std::size_t m_served = 0;
};

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::m_kind,
                   rc::gen::weightedElement<Kind>({{4, Kind::kPut},
                                                   {1, Kind::kRemove},
                                                   {4, Kind::kRead},
                                                   {4, Kind::kAsk},
                                                   {6, Kind::kHeartbeat},
                                                   {6, Kind::kAdvance},
                                                   {1, Kind::kService},
                                                   {2, Kind::kPartition}})),
      rc::gen::set(&Step::m_host, rc::gen::inRange<std::size_t>(0, kHosts)),
      rc::gen::set(&Step::m_choice, rc::gen::inRange<unsigned>(0, 32)));
}

}  // namespace

TEST_CASE("A serving host has all documents accepted before the limit") {
  std::size_t served = 0;
  std::size_t accepted = 0;
  CHECK(rc::check([&] {
    const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
    Fleet fleet;
    for (const Step& step : steps) {
      fleet.Run(step);
      fleet.Check();
    }
    served += fleet.served();
    accepted += fleet.accepted();
  }));
  CHECK(served > 1000);
  CHECK(accepted > 1000);
}

TEST_CASE("A stored text takes effect only once it is listed") {
  const ServiceId service("returns");
  DocumentTable table;
  table.AddText(service, {5, "default_patience_ms = 5\n"});
  CHECK(table.Advance().empty());
  CHECK(table.Unlisted().at(service) == 5);
  table.SetManifest({{service, {5, false}}}, 6);
  REQUIRE(table.Advance().size() == 1);
  CHECK(table.applied_revision() == 6);
  // A listed text that fails its checks leaves its predecessor in force.
  table.AddText(service, {7, "unknown_key = 1\n"});
  table.SetManifest({{service, {7, false}}}, 8);
  CHECK(table.Advance().empty());
  CHECK(table.problems().contains(service));
  CHECK(table.texts().at(service).m_revision == 5);
  table.SetManifest({{service, {9, true}}}, 10);
  REQUIRE(table.Advance().size() == 1);
  CHECK(table.documents().empty());
  // An older manifest changes nothing.
  table.SetManifest({{service, {5, false}}}, 6);
  CHECK(table.Advance().empty());
}
