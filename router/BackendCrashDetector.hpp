#pragma once

#include "BackendServer.hpp"
#include "CallerRequest.hpp"
#include "SynchronizedQuarantine.hpp"

#include <string_view>

namespace cactuspitch {

/// Checks whether a connection closed without a response means that the backend
/// server process has exited. If so, reports the requests in flight at that
/// server as suspects to the quarantine.
class BackendCrashDetector
{
public:
  BackendCrashDetector(const Clock& aClock, SynchronizedQuarantine& aQuarantine)
    : clock_(aClock)
    , quarantine_(aQuarantine)
  {
  }

  /// aIncarnation is the incarnation that the lost connection led to; 0 when
  /// unknown. Blocks for 100 ms at most.
  void Check(BackendServer& aServer, uint64_t aIncarnation);

private:
  bool HasProcessExited(const BackendServer& aServer, uint64_t aIncarnation);

  const Clock& clock_;
  SynchronizedQuarantine& quarantine_;
};

/// Hash of method, target and body. All routers compute the same value.
uint64_t RequestFingerprint(const CallerRequest& aRequest,
                            std::string_view aBody);

}
