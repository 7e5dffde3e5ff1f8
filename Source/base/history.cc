#include "base/history.h"

#include "base/error.h"

namespace hickoryloft {

namespace {

// Numbers of one era. Eras take the bits above, up to the largest integer that
// a JSON number holds exactly, because revisions serve as fencing numbers.
constexpr int kNumberBits = 40;
constexpr std::int64_t kMaxNumber = (std::int64_t{1} << kNumberBits) - 1;
constexpr Era kMaxEra = (Era{1} << (53 - kNumberBits)) - 1;

}  // namespace

std::int64_t InEra(Era era, std::int64_t number) {
  if (era < 0 || era > kMaxEra || number < 0 || number > kMaxNumber) {
    throw Error(ErrorCode::kProtocol, "number " + std::to_string(number) +
                                          " of era " + std::to_string(era) +
                                          " is out of range");
  }
  return number == 0 ? 0 : (era << kNumberBits) | number;
}

Era EraOf(std::int64_t value) {
  return value >> kNumberBits;
}

std::int64_t NumberIn(std::int64_t value) {
  return value & kMaxNumber;
}

std::string DescribeRevision(Revision revision) {
  const std::string number = std::to_string(NumberIn(revision));
  const Era era = EraOf(revision);
  return era == 0 ? number : std::to_string(era) + ":" + number;
}

}  // namespace hickoryloft
