/// \file
/// How much each model is asked of the engines, from what gateways report.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::directory {

/// The leading controller's. Deterministic. Old work counts less and less.
class ModelDemand {
 public:
  /// `workDone` are a gateway's counters since it started.
  void report(base::NodeId gateway, const std::map<std::string, std::uint64_t>& workDone,
              base::TimePoint now);
  /// Recent work by model; any unit, since only ratios count.
  [[nodiscard]] const std::map<std::string, double>& recent() const { return recent_; }
  void reset();

 private:
  void age(base::TimePoint now);

  std::map<base::NodeId, std::map<std::string, std::uint64_t>> counters_;
  std::map<std::string, double> recent_;
  base::TimePoint aged_at_{};
};

}  // namespace tackpick::directory
