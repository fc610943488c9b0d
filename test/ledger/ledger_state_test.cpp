#include "ledger/ledger_state.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace ledger = tackpick::ledger;

namespace {

class LedgerFixture {
 public:
  ledger::LedgerResult apply(const ledger::LedgerOperation& operation, std::uint64_t wall = 1000) {
    const base::Bytes command = base::encode(ledger::LedgerCommand{wall, operation});
    return base::decode<ledger::LedgerResult>(state_.apply(++index_, command)).value();
  }
  ledger::ReadResult read(std::uint32_t cursor) {
    const ledger::LedgerQuery query = ledger::ReadSamples{{"t/b"}, cursor, 100};
    return base::decode<ledger::ReadResult>(state_.query(base::encode(query))).value();
  }
  void submit(std::uint32_t samples, std::uint64_t oldest = 0) {
    ledger::SubmitBatch batch{{"t/b"}, {"t/w"}, "m", {oldest}, {}};
    for (std::uint32_t i = 0; i < samples; ++i) {
      batch.samples.push_back({i, "prompt " + std::to_string(i), i, 100});
    }
    cr_assert(apply(batch).status == ledger::LedgerStatus::kOk);
  }
  ledger::LedgerStatus commit(std::uint32_t index, std::uint64_t version, std::uint32_t token,
                              std::uint32_t tokens = 1) {
    ledger::CommitSample command{{"t/b"}, 1, {}};
    command.result.index = index;
    command.result.tokens.assign(tokens, token);
    command.result.spans = {{{version}, 0, tokens}};
    return apply(command).status;
  }

  ledger::LedgerState state_;
  std::uint64_t index_ = 0;
};

}  // namespace

Test(ledger_state, first_commit_wins_and_order_is_stable) {
  LedgerFixture fixture;
  fixture.submit(2);
  cr_assert(fixture.commit(1, 1, 11) == ledger::LedgerStatus::kOk);
  cr_assert(fixture.commit(1, 1, 22) == ledger::LedgerStatus::kAlreadyApplied);
  cr_assert(fixture.commit(0, 1, 33) == ledger::LedgerStatus::kOk);
  const ledger::ReadResult all = fixture.read(0);
  cr_assert_eq(all.samples.size(), 2U);
  cr_assert_eq(all.samples[0].tokens[0], 11U);
  cr_assert_eq(fixture.read(1).samples[0].tokens[0], 33U);
}

Test(ledger_state, stale_commit_is_rejected_and_sample_leased_again) {
  LedgerFixture fixture;
  fixture.submit(1, 5);
  cr_assert_eq(fixture.apply(ledger::LeaseSamples{{1}, {1}, 1, 10}).leased.size(), 1U);
  cr_assert(fixture.commit(0, 4, 1) == ledger::LedgerStatus::kStaleVersion);
  cr_assert_eq(fixture.apply(ledger::LeaseSamples{{2}, {1}, 1, 10}).leased.size(), 1U);
  cr_assert(fixture.commit(0, 5, 1) == ledger::LedgerStatus::kOk);
}

Test(ledger_state, repeated_lease_gives_the_same_samples_and_a_new_run_takes_over) {
  LedgerFixture fixture;
  fixture.submit(4);
  const auto first = fixture.apply(ledger::LeaseSamples{{1}, {1}, 1, 2});
  const auto again = fixture.apply(ledger::LeaseSamples{{1}, {1}, 1, 2});
  cr_assert_eq(first.leased.size(), 2U);
  cr_assert_eq(again.leased.size(), 2U);
  cr_assert_eq(first.leased[0].sample.index, again.leased[0].sample.index);
  const auto restarted = fixture.apply(ledger::LeaseSamples{{1}, {2}, 1, 10});
  cr_assert_eq(restarted.leased.size(), 4U, "the samples of the earlier run are pending again");
}

Test(ledger_state, samples_expected_to_run_longest_are_leased_first) {
  LedgerFixture fixture;
  fixture.submit(3);
  fixture.commit(0, 1, 1, 5);
  fixture.commit(1, 1, 1, 90);
  fixture.commit(2, 1, 1, 30);
  ledger::SubmitBatch next{{"t/next"}, {"t/w"}, "m", {}, {}};
  for (std::uint32_t i = 0; i < 3; ++i) {
    next.samples.push_back({i, "prompt " + std::to_string(i), 7, 100});
  }
  fixture.apply(next);
  const auto leased = fixture.apply(ledger::LeaseSamples{{1}, {1}, 1, 3}).leased;
  cr_assert_eq(leased[0].sample.index, 1U);
  cr_assert_eq(leased[1].sample.index, 2U);
  cr_assert_eq(leased[2].sample.index, 0U);
}

Test(ledger_state, results_are_kept_until_acknowledged) {
  LedgerFixture fixture;
  fixture.submit(2);
  fixture.commit(0, 1, 1);
  fixture.commit(1, 1, 2);
  fixture.apply(ledger::AcknowledgeSamples{{"t/b"}, 1});
  cr_assert_eq(fixture.read(1).samples.size(), 1U);
  fixture.apply(ledger::AcknowledgeSamples{{"t/b"}, 2});
  cr_assert(fixture.read(0).status == ledger::LedgerStatus::kExpired);
  cr_assert_eq(fixture.state_.batchCount(), 0U);
}

Test(ledger_state, key_is_claimable_again_only_after_not_run) {
  LedgerFixture fixture;
  const ledger::ClaimRequest first{{"t"}, {"key"}, 1, 100};
  const ledger::ClaimRequest second{{"t"}, {"key"}, 1, 200};
  cr_assert(fixture.apply(first).status == ledger::LedgerStatus::kOk);
  cr_assert(fixture.apply(first).status == ledger::LedgerStatus::kOk, "a resent call");
  cr_assert(fixture.apply(second).status == ledger::LedgerStatus::kRejected);
  const ledger::ClaimRequest other{{"t"}, {"key"}, 2, 300};
  cr_assert(fixture.apply(other).status == ledger::LedgerStatus::kConflict);
  fixture.apply(ledger::RecordOutcome{{"t"}, {"key"}, 100, ledger::ClaimOutcome::kNotRun, {}});
  cr_assert(fixture.apply(second).status == ledger::LedgerStatus::kOk);
  fixture.apply(ledger::RecordOutcome{{"t"}, {"key"}, 200, ledger::ClaimOutcome::kCompleted, "a"});
  const auto repeated = fixture.apply(first);
  cr_assert(repeated.outcome == ledger::ClaimOutcome::kCompleted);
  cr_assert_eq(repeated.answer, "a");
}

Test(ledger_state, snapshot_restores_state_and_claims_expire_after_retention) {
  LedgerFixture fixture;
  fixture.submit(2);
  fixture.commit(0, 1, 9);
  fixture.apply(ledger::ClaimRequest{{"t"}, {"key"}, 1, 100});
  LedgerFixture restored;
  restored.state_.loadSnapshot(fixture.state_.takeSnapshot());
  cr_assert_eq(restored.read(0).samples.size(), 1U);
  cr_assert_eq(restored.state_.claimCount(), 1U);
  constexpr std::uint64_t kAfterRetention = 1000 + 2 * 86'400;
  restored.apply(ledger::RaiseMinimumVersion{{"t/b"}, {1}}, kAfterRetention);
  cr_assert_eq(restored.state_.claimCount(), 0U);
}
