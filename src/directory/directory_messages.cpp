#include "directory/directory_messages.h"

#include "base/compression.h"

namespace tackpick::directory {
namespace {

constexpr std::size_t kMaxViewBytes = std::size_t{64} << 20U;

}  // namespace

void compressView(DirectoryReply& reply) {
  if (reply.view) {
    reply.compressedView = base::compress(base::encode(*reply.view));
    reply.view.reset();
  }
}

std::optional<DirectoryView> decodeView(const DirectoryReply& reply) {
  if (reply.view || reply.compressedView.empty()) {
    return reply.view;
  }
  const auto bytes = base::decompress(reply.compressedView, kMaxViewBytes);
  return bytes ? base::decode<DirectoryView>(*bytes) : std::nullopt;
}

}  // namespace tackpick::directory
