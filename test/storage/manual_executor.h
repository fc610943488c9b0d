/// \file
/// DiskExecutor whose task runs when the test calls finish().
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "storage/disk_executor.h"

namespace tackpick::storage {

/// Holds a task until the test runs or drops it.
class ManualExecutor final : public DiskExecutor {
 public:
  void start(Task task) override {
    m_task = std::move(task);
    ++m_started;
  }
  [[nodiscard]] bool running() const override { return static_cast<bool>(m_task); }
  void wait() override { finish(); }
  [[nodiscard]] base::Result<void> result() override {
    if (m_error) {
      return base::fail(base::ErrorCode::kStorage, *m_error);
    }
    return {};
  }

  /// Runs the pending task.
  void finish() {
    if (!m_task) {
      return;
    }
    const Task task = std::exchange(m_task, nullptr);
    m_error = base::recover(
        [&]() -> base::Result<std::optional<std::string>> {
          BOOST_LEAF_CHECK(task());
          return std::optional<std::string>();
        },
        [](const base::Error& error) { return std::optional(error.message); });
  }
  /// Drops the pending task, as a power loss does.
  void drop() { m_task = nullptr; }
  [[nodiscard]] int started() const { return m_started; }

 private:
  Task m_task;
  std::optional<std::string> m_error;
  int m_started = 0;
};

}  // namespace tackpick::storage
