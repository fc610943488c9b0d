/// \file
/// Runs the event loop of a process.
#pragma once

#include <asio/io_context.hpp>

namespace tackpick::runtime {

/// Runs handlers until the context stops or is out of work. Returns false if a handler threw an
/// exception, which is logged: its state may be inconsistent, so the process must end.
[[nodiscard]] bool runEventLoop(asio::io_context& context);

}  // namespace tackpick::runtime
