#include "transport/frame_codec.h"

#include <zstd.h>

#include <memory>

namespace tackpick::transport {
namespace {

constexpr char kPlain = 0;
constexpr char kCompressed = 1;
/// Shorter messages hardly shrink.
constexpr std::size_t kLeastBytes = 160;
/// The fastest level that still encodes single bytes by their frequency.
constexpr int kLevel = 1;
/// Small tables: texts repeat little over long distances, and memory counts.
constexpr int kWindowLog = 16;
constexpr int kHashLog = 12;

struct ContextDeleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};

ZSTD_CCtx* compressor() {
  static thread_local const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context = [] {
    std::unique_ptr<ZSTD_CCtx, ContextDeleter> made(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(made.get(), ZSTD_c_compressionLevel, kLevel);
    ZSTD_CCtx_setParameter(made.get(), ZSTD_c_windowLog, kWindowLog);
    ZSTD_CCtx_setParameter(made.get(), ZSTD_c_hashLog, kHashLog);
    return made;
  }();
  return context.get();
}

base::Bytes plainFrame(const base::Bytes& message) {
  base::Bytes frame;
  frame.reserve(message.size() + 1);
  frame.push_back(kPlain);
  frame += message;
  return frame;
}

}  // namespace

base::Bytes packFrame(const base::Bytes& message) {
  if (message.size() < kLeastBytes) {
    return plainFrame(message);
  }
  base::Bytes frame(1 + ZSTD_compressBound(message.size()), kCompressed);
  const std::size_t size = ZSTD_compress2(compressor(), frame.data() + 1, frame.size() - 1,
                                          message.data(), message.size());
  if (ZSTD_isError(size) != 0 || size >= message.size()) {
    return plainFrame(message);
  }
  frame.resize(1 + size);
  return frame;
}

std::optional<base::Bytes> unpackFrame(const base::Bytes& frame, std::size_t limit) {
  if (frame.empty() || frame.size() - 1 > limit) {
    return std::nullopt;
  }
  if (frame.front() == kPlain) {
    return frame.substr(1);
  }
  const char* data = frame.data() + 1;
  const std::size_t bytes = frame.size() - 1;
  // Unknown sizes and errors are huge numbers.
  const unsigned long long size = ZSTD_getFrameContentSize(data, bytes);
  if (frame.front() != kCompressed || size > limit) {
    return std::nullopt;
  }
  base::Bytes message(size, '\0');
  const std::size_t unpacked = ZSTD_decompress(message.data(), message.size(), data, bytes);
  if (unpacked != message.size()) {
    return std::nullopt;
  }
  return message;
}

}  // namespace tackpick::transport
