#include "jobs/call_name.h"

namespace tackpick::jobs {
namespace {

CallName nameOfTyped(const SubmitJob& request) { return {"submit", request.job.id}; }
CallName nameOfTyped(const ReadJob& request) { return {"read", request.id}; }
CallName nameOfTyped(const ReadItem& request) { return {"read_item", request.job}; }
CallName nameOfTyped(const EndJob& request) { return {"end", request.id}; }
CallName nameOfTyped(const LeaseItems& /*request*/) { return {"lease", {}}; }
CallName nameOfTyped(const CommitResults& /*request*/) { return {"commit", {}}; }
CallName nameOfTyped(const FetchResults& request) { return {"fetch_results", request.id}; }
CallName nameOfTyped(const SaveProgress& /*request*/) { return {"save_progress", {}}; }
CallName nameOfTyped(const ReadWork& /*request*/) { return {"read_work", {}}; }

}  // namespace

CallName nameOf(const JobRequest& request) {
  return std::visit([](const auto& typed) { return nameOfTyped(typed); }, request);
}

}  // namespace tackpick::jobs
