/// The event loop of a process.
#include "runtime/event_loop.h"

#include <criterion/criterion.h>

#include <asio/post.hpp>
#include <stdexcept>

namespace runtime = tackpick::runtime;

// Guards against reporting a failed handler as invalid settings, without its message.
Test(event_loop, exception_of_a_handler_ends_the_loop) {
  asio::io_context context;
  bool ranLater = false;
  asio::post(context, [] { throw std::runtime_error("broken"); });
  asio::post(context, [&] { ranLater = true; });
  cr_assert_not(runtime::runEventLoop(context));
  cr_assert_not(ranLater);
}

Test(event_loop, loop_without_work_returns) {
  asio::io_context context;
  cr_assert(runtime::runEventLoop(context));
}
