/// \file
/// A DiskExecutor whose work ends when the test says so.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "storage/disk_executor.h"

namespace tackpick::storage {

class HeldExecutor final : public DiskExecutor {
 public:
  void start(Work work) override {
    m_work = std::move(work);
    ++m_started;
  }
  [[nodiscard]] bool running() const override { return static_cast<bool>(m_work); }
  void wait() override { finish(); }
  [[nodiscard]] base::Result<void> outcome() override {
    if (m_error) {
      return base::fail(base::ErrorCode::kStorage, *m_error);
    }
    return {};
  }

  /// The running work ends.
  void finish() {
    if (!m_work) {
      return;
    }
    const Work work = std::exchange(m_work, nullptr);
    m_error = base::recover(
        [&]() -> base::Result<std::optional<std::string>> {
          BOOST_LEAF_CHECK(work());
          return std::optional<std::string>();
        },
        [](const base::Error& error) { return std::optional(error.message); });
  }
  /// The machine lost power: the running work never ends.
  void drop() { m_work = nullptr; }
  [[nodiscard]] int started() const { return m_started; }

 private:
  Work m_work;
  std::optional<std::string> m_error;
  int m_started = 0;
};

}  // namespace tackpick::storage
