// What is known of an answer that has neither a length nor chunks, once its
// connection has ended in order.

#ifndef SOURCE_HOST_UNFRAMED_END_H_
#define SOURCE_HOST_UNFRAMED_END_H_

#include <array>
#include <cstddef>

namespace hickoryloft::host {

// What an endpoint was found to do right after it ended a connection.
enum class AfterEnd {
  kAnswers,  // The process that answered goes on.
  kSilent,   // It does not answer, which can also be due to the network.
  kLeft,     // It is gone, and may have exited as it announced.
  kCrashed,  // It is gone, and nothing but a crash explains it.
};

enum class UnframedEnd {
  kWhole,      // The endpoint ended the answer, which proves it sound.
  kUncertain,  // Nothing speaks against it; it proves nothing.
  // The endpoint may have exited before or after the end of the answer. Another
  // endpoint may know.
  kMayBeCut,
  kBrokenOff,  // The answer was cut by the end of its endpoint.
};

// Returns what the end of such an answer is, for streams and for others.
// Thread-safe.
constexpr UnframedEnd JudgeUnframedEnd(AfterEnd found) {
  constexpr std::array<UnframedEnd, 4> kEnds = {
      UnframedEnd::kWhole, UnframedEnd::kUncertain, UnframedEnd::kMayBeCut,
      UnframedEnd::kBrokenOff};
  return kEnds.at(static_cast<std::size_t>(found));
}

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_UNFRAMED_END_H_
