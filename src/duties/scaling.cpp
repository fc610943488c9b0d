#include "duties/scaling.h"

#include <cmath>

namespace tackpick::duties {
namespace {

/// Larger values are rejected as invalid.
constexpr std::uint32_t kMaxInstances = 100'000;
constexpr base::Duration kMaxStartupDuration = base::seconds(3600);

bool isPrice(double price) { return std::isfinite(price) && price >= 0; }

}  // namespace

base::Result<void> validate(const Scaling& scaling) {
  const auto invalid = [](const std::string& reason) {
    return base::fail(base::ErrorCode::kInvalidInput, "scaling: " + reason);
  };
  if (scaling.maxInstances == 0 || scaling.maxInstances > kMaxInstances) {
    return invalid("maximum must be 1 to 100000 instances");
  }
  if (scaling.minInstances > scaling.maxInstances) {
    return invalid("minimum exceeds maximum");
  }
  if (scaling.startupDuration < base::Duration{0} ||
      scaling.startupDuration > kMaxStartupDuration) {
    return invalid("startup duration is out of range");
  }
  if (!isPrice(scaling.preemptiblePrice)) {
    return invalid("price of preemptible instances must be a finite number of at least 0");
  }
  for (const auto& [zone, price] : scaling.zonePrices) {
    if (zone.empty() || !isPrice(price)) {
      return invalid("zone '" + zone + "' needs a name and a finite price of at least 0");
    }
  }
  return {};
}

}  // namespace tackpick::duties
