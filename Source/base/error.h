// Errors with a type: exceptions for synchronous calls, Result for callbacks.

#ifndef SOURCE_BASE_ERROR_H_
#define SOURCE_BASE_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace hickoryloft {

// The type of a failure. Every failure that crosses a package boundary has one.
enum class ErrorCode {
  kInvalidArgument,  // The input violates a documented rule; the detail
                     // names the input.
  kInvalidSettings,  // A settings file has an unknown key, or a value of
                     // the wrong type or out of range.
  kInvalidDocument,  // An operators' document fails validation.
  kMalformedFrame,   // Bytes that are not a message of the internal protocol.
  kFrameTooLarge,    // A frame that exceeds the size limit.
  kWrongVersion,     // The peer uses another version of the internal protocol.
  kUnavailable,      // The peer cannot be reached; the operation had no
                     // effect.
  kOutcomeUnknown,   // The operation may or may not have been executed.
  kTimedOut,         // No answer in time; the operation may have been executed.
  kConflict,         // A compare-and-swap failed: the revision had changed.
  kNotFound,         // The named item does not exist.
  kUnauthenticated,  // No valid credential.
  kForbidden,        // The credential does not allow the operation.
  kExhausted,        // A limit is used up.
  kFenced,           // A larger fencing number exists; the operation was not
                     // executed.
  kProtocol,         // The peer's answer violates its protocol.
  kIo,               // A file, socket or other operation of the system failed.
};

// Returns the stable lower-case name of `code`, for logs and problem documents.
// Thread-safe.
std::string_view ToString(ErrorCode code);

// A failure with its type and a detail that names the input and the remedy.
// Immutable, so thread-safe.
class Error : public std::runtime_error {
 public:
  Error(ErrorCode code, const std::string& detail);

  ErrorCode code() const { return m_code; }

 private:
  ErrorCode m_code;
};

// A value or a failure, for callbacks, which cannot throw to the code that
// started the operation. Not thread-safe.
template <typename T>
class [[nodiscard]] Result {
 public:
  Result(T value) : m_state(std::in_place_index<0>, std::move(value)) {}
  Result(Error error) : m_state(std::in_place_index<1>, std::move(error)) {}

  bool ok() const { return m_state.index() == 0; }
  explicit operator bool() const { return ok(); }

  // Returns the value. Throws the Error if there is none.
  const T& value() const {
    if (!ok()) {
      throw std::get<1>(m_state);
    }
    return std::get<0>(m_state);
  }
  T& value() {
    if (!ok()) {
      throw std::get<1>(m_state);
    }
    return std::get<0>(m_state);
  }

  // Returns the failure. Precondition: !ok().
  const Error& error() const { return std::get<1>(m_state); }

 private:
  std::variant<T, Error> m_state;
};

// The value of the Result of an operation that returns nothing.
struct Done {};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_ERROR_H_
