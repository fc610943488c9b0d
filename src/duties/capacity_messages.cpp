#include "duties/capacity_messages.h"

namespace tackpick::duties {

std::string_view toString(InstanceKind kind) {
  return kind == InstanceKind::kOnDemand ? "ordinary" : "withdrawable";
}

std::string_view toString(ScaleOutcome outcome) {
  switch (outcome) {
    case ScaleOutcome::kAccepted:
      return "taken";
    case ScaleOutcome::kStaleFence:
      return "refused";
    case ScaleOutcome::kNoCapacity:
      return "none_available";
    case ScaleOutcome::kThrottled:
      return "busy";
    case ScaleOutcome::kUnknown:
      return "uncertain";
  }
  return "unknown";
}

}  // namespace tackpick::duties
