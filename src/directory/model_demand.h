/// \file
/// Recent demand for each model at a gateway.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace tackpick::directory {

/// A gateway's recent work by model, in received stream events with exponential decay. Kept at the
/// gateways, so that it survives a change of the leading controller.
class ModelDemand {
 public:
  void add(const std::string& model, double events, base::TimePoint now);
  [[nodiscard]] std::map<std::string, double> recent(base::TimePoint now) const;

 private:
  [[nodiscard]] double decayFactor(base::TimePoint now) const;

  std::map<std::string, double> m_work;
  base::TimePoint m_decayedAt{};
};

}  // namespace tackpick::directory
