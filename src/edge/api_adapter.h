/// \file
/// What callers, engines, servers, trainers and operators of one kind of site say over HTTP, as
/// typed calls of the product. An API adapter only translates: it keeps no state and decides
/// nothing.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "directory/directory_messages.h"
#include "directory/load_scheduler.h"
#include "duties/capacity_messages.h"
#include "duties/usage_reporter.h"
#include "forwarding/instance_table.h"
#include "http/exchange_server.h"
#include "http/upstream_client.h"
#include "jobs/item_run.h"

namespace tackpick::edge {

/// Names of the headers that the product reads or sets.
struct HeaderNames {
  std::string requestId;         ///< names a request; engines repeat it in their answers
  std::string deadline;          ///< milliseconds that the sender will wait
  std::string expectedInstance;  ///< the only instance that may run the request
  std::string notExecuted;       ///< in an answer: the instance did not run the request
  std::string load;              ///< in an answer: the instance's load
  std::string weightsVersion;    ///< in an answer: the weights that make it
  std::string weightsField;      ///< the same as a field of a stream's event
  std::string lastEvent;         ///< continue a stream behind this event
  std::string urgency;           ///< 0 to 9: a lower one is admitted first and displaces others
  std::string signature;         ///< in an answer: the instance's signature of it
  std::string credential;        ///< carries the caller's key; never sent on
  std::string tenant;            ///< the tenant for whom a request is sent on
};

/// An answer of our own.
struct Response {
  int status = 200;
  http::HeaderList headers;
  std::string body;
};

// Calls at a gateway.

/// To be sent on to an instance.
struct ForwardCall {};
struct MalformedCall {
  std::string why;
};
struct JobCall {
  jobs::JobRequest request;
};
using GatewayCall = std::variant<ForwardCall, JobCall, MalformedCall>;

// Calls at a controller.

struct UnknownCall {};
/// What waits and why: asked of the leaders of both groups.
struct ReadWorkCall {};
using ControlCall =
    std::variant<directory::DirectoryRequest, MalformedCall, UnknownCall, ReadWorkCall>;

class ApiAdapter {
 public:
  virtual ~ApiAdapter() = default;
  [[nodiscard]] virtual const HeaderNames& headers() const = 0;

  /// The key that a request brings; empty when it brings none.
  [[nodiscard]] virtual std::string apiKey(const http::HeaderList& headers) const = 0;
  /// `route` is the request's route, or null.
  [[nodiscard]] virtual GatewayCall gatewayCall(const http::RawRequest& request,
                                                const directory::Route* route) const = 0;
  [[nodiscard]] virtual Response jobResponse(const jobs::JobRequest& request,
                                             const jobs::JobReply& reply) const = 0;
  [[nodiscard]] virtual ControlCall controlCall(const http::RawRequest& request) const = 0;
  [[nodiscard]] virtual Response controlResponse(const directory::DirectoryRequest& request,
                                                 const directory::DirectoryReply& reply) const = 0;

  [[nodiscard]] virtual std::optional<forwarding::ReportedLoad> load(
      std::string_view header) const = 0;
  /// The engine's call for an order; `holder` names the process that gives it.
  [[nodiscard]] virtual http::UpstreamRequest loadRequest(const directory::LoadCommand& order,
                                                          const std::string& holder) const = 0;
  [[nodiscard]] virtual directory::LoadCommandOutcome loadCommandOutcome(int status) const = 0;
  /// The platform's call for a report; `holder` names the process that makes it. Without an
  /// address.
  [[nodiscard]] virtual http::UpstreamRequest usageRequest(const duties::UsageReport& report,
                                                           const std::string& holder) const = 0;
  [[nodiscard]] virtual duties::UsageReportOutcome usageReportOutcome(int status) const = 0;
  /// The platform's call that sets a number of instances. Without an address.
  [[nodiscard]] virtual http::UpstreamRequest scaleRequest(const duties::ScaleCall& call,
                                                           const std::string& holder) const = 0;
  [[nodiscard]] virtual duties::ScaleOutcome scaleOutcome(const duties::ScaleCall& call,
                                                          int status) const = 0;
  /// The call that asks an engine for the versions it holds.
  [[nodiscard]] virtual http::UpstreamRequest reportRequest(
      const directory::InstanceRecord& engine) const = 0;
  /// Nothing when the body cannot be read.
  [[nodiscard]] virtual std::optional<std::map<std::string, std::uint64_t>> reportedVersions(
      const std::string& body) const = 0;
  /// The call that runs an item, continuing behind `lastEvent`.
  [[nodiscard]] virtual http::UpstreamRequest itemRequest(
      const jobs::LeasedItem& item, std::optional<std::uint64_t> lastEvent) const = 0;
  /// The call that has the text of an item of `tenant` judged; empty: of nobody in particular.
  [[nodiscard]] virtual http::UpstreamRequest scoringRequest(const jobs::ScoringCall& call,
                                                             const std::string& tenant) const = 0;
};

}  // namespace tackpick::edge
