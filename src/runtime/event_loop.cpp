#include "runtime/event_loop.h"

#include <exception>

#include "telemetry/log.h"

namespace tackpick::runtime {

bool runEventLoop(asio::io_context& context) {
  try {
    context.run();
    return true;
  } catch (const std::exception& error) {
    telemetry::logEvent(telemetry::EventId::kHandlerFailed,
                        telemetry::EventFields().add("error", error.what()).text());
    return false;
  }
}

}  // namespace tackpick::runtime
