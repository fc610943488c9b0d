/// \file
/// DiskExecutor with its own thread.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "storage/disk_executor.h"

namespace tackpick::storage {

/// Runs tasks on its own thread.
class DiskThread final : public DiskExecutor {
 public:
  /// `onTaskDone` is called on the thread of this executor after each task.
  explicit DiskThread(std::function<void()> onTaskDone);
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;
  /// Waits for the running task to end.
  ~DiskThread() override;

  void start(Task task) override;
  [[nodiscard]] bool running() const override;
  void wait() override;
  [[nodiscard]] base::Result<void> result() override;

 private:
  void run();

  const std::function<void()> m_onTaskDone;
  mutable std::mutex m_mutex;
  std::condition_variable m_condition;
  Task m_task;                         ///< empty if no task is running
  std::optional<std::string> m_error;  ///< error of the last task
  bool m_stopping = false;
  std::thread m_thread;  ///< declared last, as it uses the other members
};

}  // namespace tackpick::storage
