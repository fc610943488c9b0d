/// \file
/// Errors of operations that do I/O or parse input, carried by Boost.LEAF.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace tackpick::base {

namespace leaf = boost::leaf;

/// Category of an Error.
enum class ErrorCode {
  kInvalidInput,   ///< the input violates a documented rule
  kNotFound,       ///< the named thing does not exist
  kCorrupt,        ///< stored bytes fail their checksum or cannot be decoded
  kWrongIdentity,  ///< a data directory belongs to another node, cluster or format version
  kStorage,        ///< a read, write or sync of a file failed
  kNetwork,        ///< a connection failed
};

/// The error object loaded into a leaf::result.
struct Error {
  ErrorCode code = ErrorCode::kInvalidInput;
  std::string message;  ///< one sentence for operators, with file, line or path if known
};

template <typename T>
using Result = leaf::result<T>;

/// Returns a failed Result.
[[nodiscard]] inline leaf::error_id fail(ErrorCode code, std::string message) {
  return leaf::new_error(Error{code, std::move(message)});
}

/// Runs `operation`, which returns Result<T>, and passes any failure to `onError`, which takes an
/// Error and returns T.
template <typename Operation, typename OnError>
auto recover(Operation&& operation, OnError&& onError) {
  return leaf::try_handle_all(
      std::forward<Operation>(operation), [&](const Error& error) { return onError(error); },
      [&] {
        return onError(Error{ErrorCode::kInvalidInput, "unknown error"});
      });
}

}  // namespace tackpick::base
