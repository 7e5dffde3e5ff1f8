// Prints the encoded size of each internal message that is sent while idle or
// with every request, using names as long as those of a large fleet.
// docs/CAPACITY.md multiplies these sizes by rates.

#include <iostream>
#include <memory>
#include <string>

#include "wire/frame.h"

namespace {

using namespace hickoryloft::wire;

const std::string kHost = "entry-host-0123";
const std::string kAccount = "regional-service/counter-account-07";
const std::string kEndpoint = "engine-fd3-0456";

template <typename Message>
void Print(const char* name, Message message) {
  std::cout << name << ' '
            << EncodeFrame(MakeEnvelope(std::move(message))).size()
            << " bytes\n";
}

TokenDrawT MakeTokenDraw() {
  TokenDrawT draw;
  draw.account = kAccount;
  draw.slot = 3;
  draw.entry = kHost + "/0123456789abcdef";
  draw.tokens = 400;
  draw.spent = 380;
  draw.returned = 20;
  draw.sequence = 1234567;
  draw.epoch = 1234567;
  return draw;
}

TokenGrantT MakeTokenGrant() {
  TokenGrantT grant;
  grant.account = kAccount;
  grant.slot = 3;
  grant.granted = 400;
  grant.valid_for_ms = 1000;
  grant.epoch = 1234567;
  grant.refill_per_second = 250;
  grant.burst_tokens = 10000;
  grant.level = 2000;
  return grant;
}

EndpointUpdateT MakeEndpointUpdate(std::size_t replicas) {
  auto state = std::make_unique<EndpointStateT>();
  state->id = kEndpoint;
  state->address = "10.200.30.40";
  state->port = 9000;
  state->failure_domain = "region-a-fd-3";
  state->memory_bytes = 640000000000;
  for (std::size_t i = 0; i < replicas; ++i) {
    auto replica = std::make_unique<ReplicaStateT>();
    replica->model = "regional-service/condition-notes";
    replica->adapter = "depot-adapter-01234";
    replica->version = "17";
    replica->phase = ReplicaPhase::Ready;
    replica->bytes = 60000000;
    state->replicas.push_back(std::move(replica));
  }
  EndpointUpdateT update;
  update.endpoints.push_back(std::move(state));
  return update;
}

}  // namespace

int main() {
  FreshnessReplyT freshness;
  freshness.documents_revision = 1234567;
  freshness.age_ms = 200;
  freshness.vouched = true;
  freshness.members_digest = 0x1234567812345678;
  HeartbeatT heartbeat;
  heartbeat.host = kHost;
  heartbeat.incarnation = 0x1234567812345678;
  heartbeat.documents_revision = 1234567;
  heartbeat.members_digest = 0x1234567812345678;
  ClaimNoticeT notice;
  notice.claim = "rate/" + kAccount + "/3";
  notice.holder = kHost;
  notice.incarnation = 0x1234567812345678;
  notice.fencing_number = 1234567;
  Print("FreshnessQuery", FreshnessQueryT{});
  Print("FreshnessReply", freshness);
  Print("Heartbeat", heartbeat);
  Print("ClaimNotice", notice);
  Print("TokenDraw", MakeTokenDraw());
  Print("TokenGrant", MakeTokenGrant());
  Print("EndpointUpdate, 1 replica", MakeEndpointUpdate(1));
  Print("EndpointUpdate, 25 replicas", MakeEndpointUpdate(25));
  return 0;
}
