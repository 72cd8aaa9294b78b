#pragma once

#include "BackendServer.hpp"
#include "CallerRequest.hpp"
#include "SynchronizedQuarantine.hpp"

#include <string_view>

namespace cactuspitch {

/// Finds out whether a connection that ended without an answer means that the
/// process of the backend server is gone, and reports the requests that were
/// in flight there as suspects.
class BackendCrashDetector
{
public:
  BackendCrashDetector(const Clock& aClock, SynchronizedQuarantine& aQuarantine)
    : clock_(aClock)
    , quarantine_(aQuarantine)
  {
  }

  /// aIncarnation is the one at the other end of the lost connection, 0 when
  /// it is unknown. Takes 100 ms at most.
  void Check(BackendServer& aServer, uint64_t aIncarnation);

private:
  bool HasProcessExited(const BackendServer& aServer, uint64_t aIncarnation);

  const Clock& clock_;
  SynchronizedQuarantine& quarantine_;
};

/// Hash of method, path and body, the same at all routers.
uint64_t RequestFingerprint(const CallerRequest& aRequest,
                            std::string_view aBody);

}
