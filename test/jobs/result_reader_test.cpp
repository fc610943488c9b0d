/// Reads of results by way of a near replica.
#include "jobs/result_reader.h"

#include <criterion/criterion.h>

#include <utility>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::NodeId kNear = base::makeNodeId(7, 1);

class ManualClock final : public base::TimeSource {
 public:
  [[nodiscard]] base::TimePoint now() const override { return at; }
  base::TimePoint at{base::seconds(10)};
};

/// Keep what they are asked; the test answers.
class FakeLeader final : public jobs::LedgerClient {
 public:
  void call(const jobs::JobRequest& request, base::Duration /*deadline*/, base::TimePoint /*now*/,
            Callback callback) override {
    asked.push_back(std::get<jobs::ReadJob>(request));
    pending = std::move(callback);
  }
  std::vector<jobs::ReadJob> asked;
  Callback pending;
};

class FakeReplicas final : public jobs::ReplicaClient {
 public:
  [[nodiscard]] base::NodeId nearby() const override { return kNear; }
  void fetch(base::NodeId ledger, const jobs::FetchResults& request, base::Duration /*deadline*/,
             jobs::LedgerClient::Callback callback) override {
    cr_assert(ledger == kNear);
    asked.push_back(request);
    pending = std::move(callback);
  }
  std::vector<jobs::FetchResults> asked;
  jobs::LedgerClient::Callback pending;
};

struct Fixture {
  void read(std::uint64_t after) {
    reader.read({"j", after, base::Duration{0}}, base::seconds(2),
                [this](const jobs::JobReply* reply) {
                  ++answers;
                  answered = reply != nullptr;
                  last = reply != nullptr ? *reply : jobs::JobReply{};
                });
  }
  static jobs::JobReply announced(std::uint64_t count) {
    jobs::JobReply reply;
    reply.total = 9;
    reply.elsewhere = count;
    return reply;
  }
  static jobs::JobReply withResults(std::size_t count) {
    jobs::JobReply reply;
    reply.results.resize(count);
    return reply;
  }
  static void answer(jobs::LedgerClient::Callback& pending, const jobs::JobReply& reply) {
    std::exchange(pending, nullptr)(&reply);
  }

  ManualClock clock;
  FakeLeader leader;
  FakeReplicas replicas;
  jobs::ResultReader reader{leader, replicas, clock};
  int answers = 0;
  bool answered = false;
  jobs::JobReply last;
};

}  // namespace

Test(result_reader, leader_announces_and_the_near_replica_gives) {
  Fixture fixture;
  fixture.read(3);
  cr_assert(fixture.leader.asked.at(0).nearby == kNear);
  Fixture::answer(fixture.leader.pending, Fixture::announced(2));
  cr_assert_eq(fixture.replicas.asked.at(0).after, 3U);
  cr_assert_eq(fixture.replicas.asked.at(0).count, 2U);
  Fixture::answer(fixture.replicas.pending, Fixture::withResults(2));
  cr_assert_eq(fixture.answers, 1);
  cr_assert_eq(fixture.last.results.size(), 2U);
  cr_assert_eq(fixture.last.total, 9U);
}

Test(result_reader, answers_without_an_announcement_are_passed_on) {
  Fixture fixture;
  fixture.read(0);
  Fixture::answer(fixture.leader.pending, Fixture::withResults(1));
  cr_assert_eq(fixture.last.results.size(), 1U);
  fixture.read(0);
  std::exchange(fixture.leader.pending, nullptr)(nullptr);
  cr_assert_not(fixture.answered);
  cr_assert(fixture.replicas.asked.empty());
}

Test(result_reader, replica_that_lags_or_is_silent_is_left_alone_for_a_while) {
  for (const bool unresponsive : {false, true}) {
    Fixture fixture;
    fixture.read(0);
    Fixture::answer(fixture.leader.pending, Fixture::announced(2));
    const jobs::JobReply lagging;
    std::exchange(fixture.replicas.pending, nullptr)(unresponsive ? nullptr : &lagging);
    cr_assert_not(fixture.leader.asked.at(1).nearby.valid(), "the leader gives all itself");
    Fixture::answer(fixture.leader.pending, Fixture::withResults(2));
    cr_assert_eq(fixture.last.results.size(), 2U);
    fixture.read(0);
    cr_assert_not(fixture.leader.asked.at(2).nearby.valid());
    Fixture::answer(fixture.leader.pending, Fixture::withResults(2));
    fixture.clock.at += base::seconds(2);
    fixture.read(0);
    cr_assert(fixture.leader.asked.at(3).nearby == kNear);
  }
}
