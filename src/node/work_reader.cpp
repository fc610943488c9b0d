#include "node/work_reader.h"

#include <utility>

#include "node/node.h"

namespace tackpick::node {
namespace {

/// Two calls under way.
struct WorkRead {
  edge::WorkResponses answers;
  int underWay = 2;
  std::function<void(const edge::WorkResponses& answers)> done;

  void onEnded() {
    --underWay;
    if (underWay == 0) {
      done(answers);
    }
  }
};

}  // namespace

void readWork(Node& node, base::Duration deadline,
              std::function<void(const edge::WorkResponses& answers)> done) {
  const auto read = std::make_shared<WorkRead>();
  read->done = std::move(done);
  node.member().call(jobs::JobRequest{jobs::GetWorkReport{}}, deadline, node.now(),
                     [read](const jobs::JobReply* reply) {
                       if (reply != nullptr) {
                         read->answers.ledgers = reply->work;
                       }
                       read->onEnded();
                     });
  node.member().call(directory::DirectoryRequest{directory::ReadWeights{}}, deadline, node.now(),
                     [read](const directory::DirectoryReply* reply) {
                       if (reply != nullptr) {
                         read->answers.controllers = reply->weights;
                       }
                       read->onEnded();
                     });
  node.wake();
}

}  // namespace tackpick::node
