// Typed failures: exceptions for synchronous calls, Result for callbacks.

#ifndef SOURCE_BASE_ERROR_H_
#define SOURCE_BASE_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace hickoryloft {

// The type of a failure. Every failure that crosses a package boundary carries
// one.
enum class ErrorCode {
  kInvalidArgument,  // The input breaks a stated rule; the detail names the
                     // input.
  kInvalidSettings,  // A settings file has an unknown, ill-typed or
                     // out-of-range key.
  kInvalidDocument,  // An operators' document fails its checks.
  kMalformedFrame,   // Bytes of the inner protocol that do not form a message.
  kFrameTooLarge,    // A frame whose length passes the limit.
  kWrongVersion,     // The peer speaks another version of the inner protocol.
  kUnavailable,      // The other side cannot be reached; the operation had no
                     // effect.
  kOutcomeUnknown,   // The operation may or may not have had its effect.
  kTimedOut,  // No answer in time; the operation may have had its effect.
  kConflict,  // A compare-and-swap found another revision.
  kNotFound,  // The named item does not exist.
  kUnauthenticated,  // No valid credential.
  kForbidden,        // The credential does not allow the operation.
  kExhausted,        // A limit is used up.
  kFenced,    // A newer holder exists; the operation was not carried out.
  kProtocol,  // The other side answered outside its published protocol.
  kIo,        // The operating system refused a file or socket operation.
};

// Returns the stable lower-case name of `code`, for logs and problem documents.
// Thread-safe.
std::string_view ToString(ErrorCode code);

// A failure with its type and a detail that names the input and what to do.
// Immutable, so thread-safe.
class Error : public std::runtime_error {
 public:
  Error(ErrorCode code, const std::string& detail);

  ErrorCode code() const { return m_code; }

 private:
  ErrorCode m_code;
};

// A value or a failure, for callbacks, which have no caller to throw to. Not
// thread-safe.
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

// The value of a Result that carries none.
struct Done {};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_ERROR_H_
