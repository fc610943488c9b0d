/// \file
/// Runs blocking disk work apart from its owner's thread.
#pragma once

#include <functional>

#include "base/error.h"

namespace tackpick::storage {

/// One piece of work at a time. All calls come from the owner's thread; only the work itself runs
/// elsewhere, and its owner must not touch what it uses until running() is false.
class DiskExecutor {
 public:
  using Work = std::function<base::Result<void>()>;

  virtual ~DiskExecutor() = default;
  /// Begins `work`. Nothing else may be running.
  virtual void start(Work work) = 0;
  [[nodiscard]] virtual bool running() const = 0;
  /// Blocks until nothing is running.
  virtual void wait() = 0;
  /// How the last work ended; kStorage when it failed.
  [[nodiscard]] virtual base::Result<void> outcome() = 0;
};

}  // namespace tackpick::storage
