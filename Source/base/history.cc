#include "base/history.h"

#include "base/error.h"

namespace hickoryloft {

namespace {

// Numbers of one era. Eras take the bits above, up to the largest integer that
// a JSON number holds exactly, because revisions serve as fencing numbers.
constexpr int kNumberBits = 40;
constexpr std::int64_t kMaxNumber = (std::int64_t{1} << kNumberBits) - 1;
// A service may choose lease ids at random, from all that JSON holds exactly.
constexpr int kLeaseBits = 53;
constexpr std::int64_t kMaxLease = (std::int64_t{1} << kLeaseBits) - 1;
constexpr Era kLeaseEras = Era{1} << (63 - kLeaseBits);
constexpr Era kMaxEra = (Era{1} << (53 - kNumberBits)) - 1;

}  // namespace

bool IsValidEra(Era era) {
  return era >= 0 && era <= kMaxEra;
}

Revision InEra(Era era, std::int64_t number) {
  if (!IsValidEra(era) || number < 0 || number > kMaxNumber) {
    throw Error(ErrorCode::kProtocol, "number " + std::to_string(number) +
                                          " of era " + std::to_string(era) +
                                          " is out of range");
  }
  return number == 0 ? 0 : (era << kNumberBits) | number;
}

Era EraOf(Revision revision) {
  return revision >> kNumberBits;
}

std::int64_t NumberIn(Revision revision) {
  return revision & kMaxNumber;
}

std::int64_t LeaseInEra(Era era, std::int64_t number) {
  if (number < 0 || number > kMaxLease) {
    throw Error(ErrorCode::kProtocol,
                "lease " + std::to_string(number) + " is out of range");
  }
  return number == 0 ? 0 : (era % kLeaseEras) << kLeaseBits | number;
}

bool IsLeaseOf(Era era, std::int64_t lease) {
  return lease >> kLeaseBits == era % kLeaseEras;
}

std::int64_t LeaseNumber(std::int64_t lease) {
  return lease & kMaxLease;
}

std::string DescribeRevision(Revision revision) {
  const std::string number = std::to_string(NumberIn(revision));
  const Era era = EraOf(revision);
  return era == 0 ? number : std::to_string(era) + ":" + number;
}

}  // namespace hickoryloft
