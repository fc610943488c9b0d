/// \file
/// DiskExecutor with a thread of its own.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "storage/disk_executor.h"

namespace tackpick::storage {

class DiskThread final : public DiskExecutor {
 public:
  /// `onEnded` is called on the disk's thread after each work.
  explicit DiskThread(std::function<void()> onEnded);
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;
  /// Waits for the running work.
  ~DiskThread() override;

  void start(Work work) override;
  [[nodiscard]] bool running() const override;
  void wait() override;
  [[nodiscard]] base::Result<void> outcome() override;

 private:
  void run();

  const std::function<void()> m_onEnded;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  Work m_work;  ///< empty: nothing is running
  std::optional<std::string> m_error;
  bool m_stopping = false;
  std::thread m_thread;  ///< last: it uses the members above
};

}  // namespace tackpick::storage
