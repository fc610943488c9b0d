/// \file
/// Which gateways run the items of which engines.
#pragma once

#include <map>
#include <string>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::jobs {

/// The items of an engine go to gateways of its zone while any asks for items there, so that texts
/// cross no zone on their way from the engine. Deterministic.
class ZoneAffinity {
 public:
  /// A gateway asks for items, or (`acceptsItems` false) for none any more.
  void note(base::NodeId gateway, const std::string& zone, bool acceptsItems, base::TimePoint now);
  void forget(std::uint32_t gatewayNumber);
  void clear() { m_gateways.clear(); }
  /// Where the gateway is; empty: unknown.
  [[nodiscard]] std::string zoneOf(base::NodeId gateway) const;
  /// True when `gateway` may run items of an engine in `zone`.
  [[nodiscard]] bool suits(base::NodeId gateway, const std::string& zone,
                           base::TimePoint now) const;

 private:
  struct Gateway {
    std::string zone;
    base::TimePoint askedAt{};
  };

  std::map<base::NodeId, Gateway> m_gateways;
};

}  // namespace tackpick::jobs
