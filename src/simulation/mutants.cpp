/// \file
/// The mutants: each breaks one mechanism.
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
      {"vote-twice", "one vote a term", "split-votes",
       [](Options& options) {
         controlRaft(options).voteTwicePerTerm = true;
         ledgerRaft(options).voteTwicePerTerm = true;
       }},
      {"acknowledge-before-sync", "a replica answers only what it has synced", "broken-disks",
       [](Options& options) {
         controlRaft(options).acknowledgeBeforeSync = true;
         ledgerRaft(options).acknowledgeBeforeSync = true;
       }},
      {"ignore-leader-lease", "nobody votes against a leader within its lease", "two-leaders",
       [](Options& options) { controlRaft(options).ignoreLeaderLease = true; }},
      {"answer-before-commit", "a command is answered once it is committed", "exactly-once",
       [](Options& options) { options.ledger.replica.mutants.answerBeforeCommit = true; }},
      {"read-without-lease", "reads are answered under the leader's lease", "silent-leader",
       [](Options& options) { options.controller.replica.mutants.readWithoutLease = true; }},
      {"ignore-expected-revision", "compare-and-set on the node's revision", "configuration",
       [](Options& options) { options.controller.limits.mutants.ignoreExpectedRevision = true; }},
      {"forget-request-ids", "request ids are remembered", "configuration",
       [](Options& options) { options.controller.limits.mutants.forgetRequestIds = true; }},
      {"accept-before-in-force", "accepted means in force everywhere", "frozen",
       [](Options& options) { options.controller.mutants.acceptBeforeInForce = true; }},
      {"forget-earlier-leases", "a new leader waits out its predecessor's leases",
       "drifting-clocks",
       [](Options& options) { options.controller.leases.mutants.forgetEarlierLeases = true; }},
      {"stop-clock-in-suspension", "the clock of leases counts the time of a suspension", "frozen",
       [](Options& options) { options.suspensionStopsClock = true; }},
      {"serve-without-lease", "a gateway serves only under its lease", "frozen",
       [](Options& options) { options.gateway.controlViewMutants.serveWithoutLease = true; }},
      {"accept-older-revision", "a gateway's revision never goes back", "bad-network",
       [](Options& options) { options.gateway.controlViewMutants.acceptStaleRevision = true; }},
      {"accept-lower-fence", "engines refuse orders with a lower fence", "late-orders",
       [](Options& options) { options.engine.acceptStaleFence = true; }},
      {"commit-twice", "the first commit of a sample wins", "exactly-once",
       [](Options& options) { options.ledger.state.batchMutants.acceptSecondCommit = true; }},
      {"skip-version-check", "the ledger checks the staleness bound at commit", "staleness-bound",
       [](Options& options) { options.ledger.state.batchMutants.skipVersionCheck = true; }},
      {"grant-every-claim", "one claim a key", "at-most-once",
       [](Options& options) { options.ledger.state.mutants.grantDuplicateClaims = true; }},
      {"skip-claim", "claim before dispatch", "at-most-once",
       [](Options& options) { options.gateway.mutants.skipClaim = true; }},
      {"retry-unclear", "an unclear not-repeatable dispatch is never retried", "at-most-once",
       [](Options& options) { options.gateway.mutants.retryUnknownOutcome = true; }},
      {"forget-verdict", "the verdict is over all attempts", "not-run",
       [](Options& options) { options.gateway.mutants.ignoreEarlierVerdicts = true; }},
      {"label-by-order", "labels come from the engine's stamps", "swap-mid-stream",
       [](Options& options) { options.gateway.mutants.labelWithPublishedVersion = true; }},
      {"ignore-offsets", "chunks are taken by their offset", "reordered-chunks",
       [](Options& options) { options.gateway.mutants.ignoreOffsets = true; }},
      {"finish-early", "an answer ends with the engine's finish and count", "whole-answer",
       [](Options& options) { options.gateway.mutants.acceptTruncatedStream = true; }},
      {"ignore-leaving", "no work to engines that leave", "leaving-engine",
       [](Options& options) { options.gateway.engines.mutants.ignoreDraining = true; }},
      {"drop-on-drain", "a planned stop finishes what runs", "planned-stop",
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
