/// \file
/// CPU time, messages and bytes by role in a simulated run.
#pragma once

#include <array>
#include <cstdint>
#include <ctime>
#include <variant>

#include "transport/internal_messages.h"

namespace tackpick::simulation {

inline constexpr std::size_t kMessageKinds = std::variant_size_v<transport::InternalMessage>;

/// Number and size of the messages of one kind.
struct MessageCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  ///< encoded size without the 4-byte frame header
};

/// Costs summed over all nodes of a role.
struct RoleCost {
  std::uint64_t cpuNanoseconds = 0;  ///< CPU time of the simulating thread
  std::uint64_t engineReads = 0;
  std::array<MessageCount, kMessageKinds> sent;
  std::array<MessageCount, kMessageKinds> received;

  [[nodiscard]] static std::uint64_t totalBytes(
      const std::array<MessageCount, kMessageKinds>& counts) {
    std::uint64_t bytes = 0;
    for (const MessageCount& count : counts) {
      bytes += count.bytes;
    }
    return bytes;
  }
};

/// Adds the CPU time that the thread spends in the timer's scope to a RoleCost, unless it is null.
class CpuTimer {
 public:
  explicit CpuTimer(RoleCost* roleCost) : m_roleCost(roleCost) {
    if (m_roleCost != nullptr) {
      m_startNanoseconds = now();
    }
  }
  ~CpuTimer() {
    if (m_roleCost != nullptr) {
      m_roleCost->cpuNanoseconds += now() - m_startNanoseconds;
    }
  }
  CpuTimer(const CpuTimer&) = delete;
  CpuTimer& operator=(const CpuTimer&) = delete;

 private:
  static std::uint64_t now() {
    constexpr std::uint64_t kNanosecondsPerSecond = 1'000'000'000;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * kNanosecondsPerSecond +
           static_cast<std::uint64_t>(time.tv_nsec);
  }

  RoleCost* m_roleCost;
  std::uint64_t m_startNanoseconds = 0;
};

}  // namespace tackpick::simulation
