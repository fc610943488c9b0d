/// \file
/// Interface to run blocking disk operations outside of the owner's thread.
#pragma once

#include <functional>

#include "base/error.h"

namespace tackpick::storage {

/// Runs one task at a time. All functions are called on the owner's thread; only the task may run
/// on another one. The owner must not access the data of a task until running() is false.
class DiskExecutor {
 public:
  using Task = std::function<base::Result<void>()>;

  virtual ~DiskExecutor() = default;
  /// Starts `task`. No other task may be running.
  virtual void start(Task task) = 0;
  [[nodiscard]] virtual bool running() const = 0;
  /// Blocks until no task is running.
  virtual void wait() = 0;
  /// Returns the result of the last task, kStorage if it failed.
  [[nodiscard]] virtual base::Result<void> result() = 0;
};

}  // namespace tackpick::storage
