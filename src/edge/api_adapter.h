/// \file
/// Interface for translating a site's HTTP API to typed calls. Implementations hold no state and
/// make no decisions.
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

/// Names of the headers that this service reads or sets.
struct HeaderNames {
  std::string requestId;            ///< id of a request; engines repeat it in their responses
  std::string deadline;             ///< remaining time in milliseconds
  std::string expectedInstance;     ///< the only instance that may run the request
  std::string notExecuted;          ///< in a response: the instance did not run the request
  std::string load;                 ///< in a response: load of the instance
  std::string weightsVersion;       ///< in a response: version of the weights in use
  std::string weightsVersionField;  ///< name of the stream event field with that version
  std::string lastEvent;            ///< number of the event after which a stream continues
  /// Scheduling priority, 0 to 9: lower values are admitted first and preempt higher ones.
  std::string urgency;
  std::string signature;   ///< in a response: signature of the response
  std::string credential;  ///< the caller's key; never forwarded
  std::string tenant;      ///< tenant of a forwarded request
};

/// An HTTP response made by this process.
struct Response {
  int status = 200;
  http::HeaderList headers;
  std::string body;
};

// Calls at a gateway.

/// A request to be forwarded to an instance.
struct ForwardCall {};
/// A request that could not be parsed.
struct MalformedCall {
  std::string reason;
};
/// A call to the ledgers.
struct JobCall {
  jobs::JobRequest request;
};
using GatewayCall = std::variant<ForwardCall, JobCall, MalformedCall>;

// Calls at a controller.

/// A request for an unknown endpoint.
struct UnknownCall {};
/// Reads the open jobs and the weights summary from the leaders of both groups.
struct ReadWorkCall {};
using ControlCall =
    std::variant<directory::DirectoryRequest, MalformedCall, UnknownCall, ReadWorkCall>;

/// Translates the HTTP API of one kind of site.
class ApiAdapter {
 public:
  virtual ~ApiAdapter() = default;
  [[nodiscard]] virtual const HeaderNames& headers() const = 0;

  /// Returns the key of a request; empty if there is none.
  [[nodiscard]] virtual std::string apiKey(const http::HeaderList& headers) const = 0;
  /// Returns the call of a request. `route` is the request's route; null if unknown.
  [[nodiscard]] virtual GatewayCall gatewayCall(const http::RawRequest& request,
                                                const directory::Route* route) const = 0;
  [[nodiscard]] virtual Response jobResponse(const jobs::JobRequest& request,
                                             const jobs::JobReply& reply) const = 0;
  [[nodiscard]] virtual ControlCall controlCall(const http::RawRequest& request) const = 0;
  [[nodiscard]] virtual Response controlResponse(const directory::DirectoryRequest& request,
                                                 const directory::DirectoryReply& reply) const = 0;

  [[nodiscard]] virtual std::optional<forwarding::ReportedLoad> load(
      std::string_view header) const = 0;
  /// Returns the request that sends a load command to an engine. `holder`: name of the sending
  /// process.
  [[nodiscard]] virtual http::UpstreamRequest loadRequest(const directory::LoadCommand& command,
                                                          const std::string& holder) const = 0;
  [[nodiscard]] virtual directory::LoadCommandOutcome loadCommandOutcome(int status) const = 0;
  /// Returns the request, without an address, that sends a usage report to the platform. `holder`:
  /// name of the sending process.
  [[nodiscard]] virtual http::UpstreamRequest usageRequest(const duties::UsageReport& report,
                                                           const std::string& holder) const = 0;
  [[nodiscard]] virtual duties::UsageReportOutcome usageReportOutcome(int status) const = 0;
  /// Returns the request, without an address, that sets the number of instances of a pool.
  [[nodiscard]] virtual http::UpstreamRequest scaleRequest(const duties::ScaleCall& call,
                                                           const std::string& holder) const = 0;
  [[nodiscard]] virtual duties::ScaleOutcome scaleOutcome(const duties::ScaleCall& call,
                                                          int status) const = 0;
  /// Returns the request that queries the weights versions of an engine.
  [[nodiscard]] virtual http::UpstreamRequest versionsRequest(
      const directory::InstanceRecord& engine) const = 0;
  /// Returns versions by model; std::nullopt if the body is malformed.
  [[nodiscard]] virtual std::optional<std::map<std::string, std::uint64_t>> reportedVersions(
      const std::string& body) const = 0;
  /// Returns the request that runs an item, continuing after `lastEvent`.
  [[nodiscard]] virtual http::UpstreamRequest itemRequest(
      const jobs::LeasedItem& item, std::optional<std::uint64_t> lastEvent) const = 0;
  /// Returns the request to score a text. `tenant` is the item's tenant; empty if none.
  [[nodiscard]] virtual http::UpstreamRequest scoringRequest(const jobs::ScoringCall& call,
                                                             const std::string& tenant) const = 0;
};

}  // namespace tackpick::edge
