#include "directory/directory_messages.h"

#include "base/compression.h"

namespace tackpick::directory {
namespace {

constexpr std::size_t kMaxViewBytes = std::size_t{64} << 20U;

}  // namespace

void packView(DirectoryReply& reply) {
  if (reply.view) {
    reply.packedView = base::compress(base::encode(*reply.view));
    reply.view.reset();
  }
}

std::optional<DirectoryView> viewOf(const DirectoryReply& reply) {
  if (reply.view || reply.packedView.empty()) {
    return reply.view;
  }
  const auto bytes = base::decompress(reply.packedView, kMaxViewBytes);
  return bytes ? base::decode<DirectoryView>(*bytes) : std::nullopt;
}

}  // namespace tackpick::directory
