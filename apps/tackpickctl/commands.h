/// \file
/// The commands of tackpickctl. Each returns the exit code.
#pragma once

#include <string>
#include <vector>

#include "control_client.h"

namespace tackpick::ctl {

// Exit codes, documented in docs/OPERATIONS.md.
inline constexpr int kSuccess = 0;
inline constexpr int kRejected = 1;      ///< the controllers rejected the change
inline constexpr int kUsageError = 2;    ///< wrong flags or files
inline constexpr int kUnreachable = 3;   ///< no leader answered
inline constexpr int kConflictExit = 4;  ///< the settings node was changed concurrently
inline constexpr int kDiffers = 5;       ///< `diff` found differences

/// Parsed command line.
struct Invocation {
  ControlAddress address;
  std::vector<std::string> arguments;  ///< arguments after the name of the command
  std::string folder;                  ///< declarations: folder or file (option -f)
  std::string requestId;
  std::string expectedRevision;
  std::string tenant;
  std::string role;
  bool dryRun = false;
  bool undo = false;
  bool json = false;
  bool prune = false;
};

int apply(const Invocation& invocation);
int diff(const Invocation& invocation);
int get(const Invocation& invocation);
int set(const Invocation& invocation);
int explain(const Invocation& invocation);
int history(const Invocation& invocation);
int watch(const Invocation& invocation);
int engines(const Invocation& invocation);
int drain(const Invocation& invocation);
int tenants(const Invocation& invocation);
int members(const Invocation& invocation);
int token(const Invocation& invocation);
int status(const Invocation& invocation);
int quarantine(const Invocation& invocation);
int release(const Invocation& invocation);
int capacity(const Invocation& invocation);
int work(const Invocation& invocation);

}  // namespace tackpick::ctl
