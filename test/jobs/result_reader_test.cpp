/// Reads of results through a local replica.
#include "jobs/result_reader.h"

#include <criterion/criterion.h>

#include <utility>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::NodeId kLocalReplica = base::makeNodeId(7, 1);

class ManualClock final : public base::TimeSource {
 public:
  [[nodiscard]] base::TimePoint now() const override { return at; }
  base::TimePoint at{base::seconds(10)};
};

/// Records requests; the test replies.
class FakeLeader final : public jobs::LedgerClient {
 public:
  void call(const jobs::JobRequest& request, base::Duration /*deadline*/, base::TimePoint /*now*/,
            Callback callback) override {
    requests.push_back(std::get<jobs::ReadJob>(request));
    pending = std::move(callback);
  }
  std::vector<jobs::ReadJob> requests;
  Callback pending;
};

class FakeReplicas final : public jobs::ReplicaClient {
 public:
  [[nodiscard]] base::NodeId localReplica() const override { return kLocalReplica; }
  void fetch(base::NodeId ledger, const jobs::FetchResults& request, base::Duration /*deadline*/,
             jobs::LedgerClient::Callback callback) override {
    cr_assert(ledger == kLocalReplica);
    requests.push_back(request);
    pending = std::move(callback);
  }
  std::vector<jobs::FetchResults> requests;
  jobs::LedgerClient::Callback pending;
};

struct Fixture {
  void read(std::uint64_t after) {
    reader.read({"j", after, base::Duration{0}}, base::seconds(2),
                [this](const jobs::JobReply* reply) {
                  ++replies;
                  gotReply = reply != nullptr;
                  last = reply != nullptr ? *reply : jobs::JobReply{};
                });
  }
  static jobs::JobReply leaderReply(std::uint64_t count) {
    jobs::JobReply reply;
    reply.total = 9;
    reply.replicaResults = count;
    return reply;
  }
  static jobs::JobReply withResults(std::size_t count) {
    jobs::JobReply reply;
    reply.results.resize(count);
    return reply;
  }
  static void replyTo(jobs::LedgerClient::Callback& pending, const jobs::JobReply& reply) {
    std::exchange(pending, nullptr)(&reply);
  }

  ManualClock clock;
  FakeLeader leader;
  FakeReplicas replicas;
  jobs::ResultReader reader{leader, replicas, clock};
  int replies = 0;
  bool gotReply = false;
  jobs::JobReply last;
};

}  // namespace

Test(result_reader, leader_announces_and_the_local_replica_returns_results) {
  Fixture fixture;
  fixture.read(3);
  cr_assert(fixture.leader.requests.at(0).preferredReplica == kLocalReplica);
  Fixture::replyTo(fixture.leader.pending, Fixture::leaderReply(2));
  cr_assert_eq(fixture.replicas.requests.at(0).after, 3U);
  cr_assert_eq(fixture.replicas.requests.at(0).count, 2U);
  Fixture::replyTo(fixture.replicas.pending, Fixture::withResults(2));
  cr_assert_eq(fixture.replies, 1);
  cr_assert_eq(fixture.last.results.size(), 2U);
  cr_assert_eq(fixture.last.total, 9U);
}

Test(result_reader, answers_without_an_announcement_are_passed_on) {
  Fixture fixture;
  fixture.read(0);
  Fixture::replyTo(fixture.leader.pending, Fixture::withResults(1));
  cr_assert_eq(fixture.last.results.size(), 1U);
  fixture.read(0);
  std::exchange(fixture.leader.pending, nullptr)(nullptr);
  cr_assert_not(fixture.gotReply);
  cr_assert(fixture.replicas.requests.empty());
}

Test(result_reader, lagging_or_unresponsive_replica_is_avoided_for_a_while) {
  for (const bool unresponsive : {false, true}) {
    Fixture fixture;
    fixture.read(0);
    Fixture::replyTo(fixture.leader.pending, Fixture::leaderReply(2));
    const jobs::JobReply lagging;
    std::exchange(fixture.replicas.pending, nullptr)(unresponsive ? nullptr : &lagging);
    cr_assert_not(fixture.leader.requests.at(1).preferredReplica.valid(),
                  "the leader returns all results itself");
    Fixture::replyTo(fixture.leader.pending, Fixture::withResults(2));
    cr_assert_eq(fixture.last.results.size(), 2U);
    fixture.read(0);
    cr_assert_not(fixture.leader.requests.at(2).preferredReplica.valid());
    Fixture::replyTo(fixture.leader.pending, Fixture::withResults(2));
    fixture.clock.at += base::seconds(2);
    fixture.read(0);
    cr_assert(fixture.leader.requests.at(3).preferredReplica == kLocalReplica);
  }
}
