/// \file
/// List of the mutants.
#include <algorithm>

#include "simulation/scenario.h"

namespace tackpick::simulation {
namespace {

consensus::RaftSettings::Mutants& controlRaft(SimulationOptions& options) {
  return options.controller.replica.raft.mutants;
}

consensus::RaftSettings::Mutants& ledgerRaft(SimulationOptions& options) {
  return options.ledger.replica.raft.mutants;
}

}  // namespace

const std::vector<Mutant>& mutants() {
  using Options = SimulationOptions;
  static const std::vector<Mutant> kMutants = {
      {"vote-twice", "a replica votes once per term", "split-votes",
       [](Options& options) {
         controlRaft(options).voteTwicePerTerm = true;
         ledgerRaft(options).voteTwicePerTerm = true;
       }},
      {"acknowledge-before-sync", "a replica acknowledges only synced entries", "broken-disks",
       [](Options& options) {
         controlRaft(options).acknowledgeBeforeSync = true;
         ledgerRaft(options).acknowledgeBeforeSync = true;
       }},
      {"ignore-leader-lease", "replicas do not vote during the leader's lease", "two-leaders",
       [](Options& options) { controlRaft(options).ignoreLeaderLease = true; }},
      {"answer-before-commit", "a command is answered after it is committed", "exactly-once",
       [](Options& options) { options.ledger.replica.mutants.answerBeforeCommit = true; }},
      {"read-without-lease", "reads are answered only under the leader's lease", "silent-leader",
       [](Options& options) { options.controller.replica.mutants.readWithoutLease = true; }},
      {"ignore-expected-revision", "a change is rejected if its expected revision is outdated",
       "configuration",
       [](Options& options) { options.controller.limits.mutants.ignoreExpectedRevision = true; }},
      {"forget-request-ids", "a resent request id is not applied again", "configuration",
       [](Options& options) { options.controller.limits.mutants.forgetRequestIds = true; }},
      {"accept-before-in-force", "a change is accepted only once all gateways apply it", "frozen",
       [](Options& options) { options.controller.mutants.acceptBeforeInForce = true; }},
      {"forget-earlier-leases", "a new leader waits until its predecessor's leases have expired",
       "drifting-clocks",
       [](Options& options) { options.controller.leases.mutants.forgetEarlierLeases = true; }},
      {"stop-clock-in-suspension", "the clock of leases includes suspensions", "frozen",
       [](Options& options) { options.suspensionStopsClock = true; }},
      {"serve-without-lease", "a gateway serves only while it holds a lease", "frozen",
       [](Options& options) { options.gateway.controlViewMutants.serveWithoutLease = true; }},
      {"accept-older-revision", "a gateway ignores older revisions", "bad-network",
       [](Options& options) { options.gateway.controlViewMutants.acceptStaleRevision = true; }},
      {"accept-lower-fence", "engines reject commands with a lower fence", "late-orders",
       [](Options& options) { options.engine.acceptStaleFence = true; }},
      {"commit-twice", "only the first commit of a sample counts", "exactly-once",
       [](Options& options) { options.ledger.state.batchMutants.acceptSecondCommit = true; }},
      {"skip-version-check", "the ledger checks the staleness bound at commit", "staleness-bound",
       [](Options& options) { options.ledger.state.batchMutants.skipVersionCheck = true; }},
      {"grant-every-claim", "each key is claimed at most once", "at-most-once",
       [](Options& options) { options.ledger.state.mutants.grantDuplicateClaims = true; }},
      {"skip-claim", "a key is claimed before dispatch", "at-most-once",
       [](Options& options) { options.gateway.mutants.skipClaim = true; }},
      {"retry-unclear", "a not-repeatable attempt with an unknown outcome is not retried",
       "at-most-once",
       [](Options& options) { options.gateway.mutants.retryUnknownOutcome = true; }},
      {"forget-verdict", "the verdict covers all attempts", "not-run",
       [](Options& options) { options.gateway.mutants.ignoreEarlierVerdicts = true; }},
      {"label-by-order", "version labels are taken from the engine's chunks", "swap-mid-stream",
       [](Options& options) { options.gateway.mutants.labelWithPublishedVersion = true; }},
      {"ignore-offsets", "chunks are ordered by their offset", "reordered-chunks",
       [](Options& options) { options.gateway.mutants.ignoreOffsets = true; }},
      {"finish-early",
       "a response is complete only after the engine's end message with a matching token count",
       "whole-answer",
       [](Options& options) { options.gateway.mutants.acceptTruncatedStream = true; }},
      {"ignore-leaving", "draining engines get no new work", "leaving-engine",
       [](Options& options) { options.gateway.engines.mutants.ignoreDraining = true; }},
      {"drop-on-drain", "a graceful shutdown completes running requests", "planned-stop",
       [](Options& options) { options.gateway.mutants.abortOnDrain = true; }},
  };
  return kMutants;
}

const Mutant* findMutant(std::string_view name) {
  const auto found = std::find_if(mutants().begin(), mutants().end(),
                                  [&](const Mutant& mutant) { return mutant.name == name; });
  return found == mutants().end() ? nullptr : &*found;
}

}  // namespace tackpick::simulation
