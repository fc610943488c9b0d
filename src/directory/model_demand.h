/// \file
/// How much each model is asked of the engines.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace tackpick::directory {

/// A gateway's recent work by model, in events of streams received. Older work counts less and
/// less. Gateways keep it, not the leading controller, so that it outlives a change of leader.
class ModelDemand {
 public:
  void add(const std::string& model, double events, base::TimePoint now);
  [[nodiscard]] std::map<std::string, double> recent(base::TimePoint now) const;

 private:
  [[nodiscard]] double factor(base::TimePoint now) const;

  std::map<std::string, double> work_;
  base::TimePoint aged_at_{};
};

}  // namespace tackpick::directory
