#include "coordinator/member_record.h"

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace hickoryloft::coordinator {

std::string FormatMemberRecord(const MemberRecord& record) {
  const Member& member = record.m_member;
  const nlohmann::json json = {
      {"host", member.m_host.value()},
      {"incarnation", member.m_incarnation},
      {"failure_domain", member.m_failure_domain.value()},
      {"address", member.m_address},
      {"port", member.m_port},
      {"leaving", member.m_leaving},
      {"lease", record.m_lease},
      {"long_lease", record.m_long_lease},
  };
  return json.dump();
}

MemberRecord ParseMemberRecord(const keyvalue::KeyValue& item) {
  try {
    const nlohmann::json json = nlohmann::json::parse(item.m_value);
    MemberRecord record{
        .m_member =
            {
                .m_host = HostId(json.at("host").get<std::string>()),
                .m_incarnation = json.at("incarnation").get<Incarnation>(),
                .m_failure_domain = FailureDomainId(
                    json.at("failure_domain").get<std::string>()),
                .m_address = json.at("address").get<std::string>(),
                .m_port = json.at("port").get<std::uint16_t>(),
                .m_leaving = json.at("leaving").get<bool>(),
            },
        .m_lease = json.at("lease").get<keyvalue::LeaseId>(),
        .m_long_lease = json.at("long_lease").get<keyvalue::LeaseId>(),
        .m_create_revision = item.m_create_revision,
    };
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorCode::kProtocol, item.m_key + " does not hold a member: " +
                                          std::string(error.what()));
  }
}

wire::MemberStateT ToMemberState(const MemberRecord& record) {
  wire::MemberStateT state;
  state.host = record.m_member.m_host.value();
  state.incarnation = record.m_member.m_incarnation;
  state.failure_domain = record.m_member.m_failure_domain.value();
  state.address = record.m_member.m_address;
  state.port = record.m_member.m_port;
  state.leaving = record.m_member.m_leaving;
  state.lease = record.m_lease;
  state.long_lease = record.m_long_lease;
  state.create_revision = record.m_create_revision;
  return state;
}

MemberRecord ToMemberRecord(const wire::MemberStateT& state) {
  return {
      .m_member =
          {
              .m_host = HostId(state.host),
              .m_incarnation = state.incarnation,
              .m_failure_domain = FailureDomainId(state.failure_domain),
              .m_address = state.address,
              .m_port = state.port,
              .m_leaving = state.leaving,
          },
      .m_lease = state.lease,
      .m_long_lease = state.long_lease,
      .m_create_revision = state.create_revision,
  };
}

}  // namespace hickoryloft::coordinator
