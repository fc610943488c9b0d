/// \file
/// HTTP interface of a gateway for trainers. Documented in docs/API.md.
#pragma once

#include <memory>

#include "control/control_delta.h"
#include "http/server.h"
#include "ledger/ledger_commands.h"

namespace tackpick::runtime {

class Daemon;

/// Translates between HTTP and the ledgers and controllers. Runs on the daemon's thread.
class TrainerApi {
 public:
  using ResponderPtr = std::shared_ptr<http::Responder>;

  explicit TrainerApi(Daemon& daemon) : daemon_(daemon) {}

  /// Handles a request below /v1/batches or to /v1/weights of a trainer or operator.
  void handle(const http::Request& request, const control::CredentialRecord& credential,
              const ResponderPtr& responder);

 private:
  void submitBatch(const http::Request& request, const control::CredentialRecord& credential,
                   const ResponderPtr& responder);
  void readSamples(const http::Request& request, const base::BatchId& batch,
                   const ResponderPtr& responder);
  void acknowledge(const http::Request& request, const base::BatchId& batch,
                   const ResponderPtr& responder);
  void raiseMinVersion(const http::Request& request, const base::BatchId& batch,
                       const ResponderPtr& responder);
  void publishWeights(const http::Request& request, const ResponderPtr& responder);
  void routeBatchRequest(const http::Request& request, const control::CredentialRecord& credential,
                         const ResponderPtr& responder);
  /// Sends a ledger command whose result is only a status.
  void sendToLedger(const base::BatchId& batch, const ledger::LedgerOperation& operation,
                    const ResponderPtr& responder);

  Daemon& daemon_;
};

}  // namespace tackpick::runtime
