#include "jobs/request_label.h"

namespace tackpick::jobs {
namespace {

RequestLabel labelOfTyped(const SubmitJob& request) { return {"submit", request.job.id}; }
RequestLabel labelOfTyped(const ReadJob& request) { return {"read", request.id}; }
RequestLabel labelOfTyped(const ReadItem& request) { return {"read_item", request.job}; }
RequestLabel labelOfTyped(const EndJob& request) { return {"end", request.id}; }
RequestLabel labelOfTyped(const LeaseItems& /*request*/) { return {"lease", {}}; }
RequestLabel labelOfTyped(const CommitResults& /*request*/) { return {"commit", {}}; }
RequestLabel labelOfTyped(const FetchResults& request) { return {"fetch_results", request.id}; }
RequestLabel labelOfTyped(const SaveProgress& /*request*/) { return {"save_progress", {}}; }
RequestLabel labelOfTyped(const GetWorkReport& /*request*/) { return {"read_work", {}}; }

}  // namespace

RequestLabel labelOf(const JobRequest& request) {
  return std::visit([](const auto& typed) { return labelOfTyped(typed); }, request);
}

}  // namespace tackpick::jobs
