#include "node/work_reader.h"

#include <utility>

#include "node/node.h"

namespace tackpick::node {
namespace {

/// The state shared by the callbacks of the two concurrent calls.
struct PendingWorkRead {
  edge::WorkResponses responses;
  int pendingCalls = 2;
  std::function<void(const edge::WorkResponses& responses)> done;

  void onEnded() {
    --pendingCalls;
    if (pendingCalls == 0) {
      done(responses);
    }
  }
};

}  // namespace

void readWork(Node& node, base::Duration deadline,
              std::function<void(const edge::WorkResponses& responses)> done) {
  const auto read = std::make_shared<PendingWorkRead>();
  read->done = std::move(done);
  node.clusterMember().call(jobs::JobRequest{jobs::GetWorkReport{}}, deadline, node.now(),
                            [read](const jobs::JobReply* reply) {
                              if (reply != nullptr) {
                                read->responses.ledgers = reply->work;
                              }
                              read->onEnded();
                            });
  node.clusterMember().call(directory::DirectoryRequest{directory::ReadWeights{}}, deadline,
                            node.now(), [read](const directory::DirectoryReply* reply) {
                              if (reply != nullptr) {
                                read->responses.controllers = reply->weights;
                              }
                              read->onEnded();
                            });
  node.scheduleIteration();
}

}  // namespace tackpick::node
