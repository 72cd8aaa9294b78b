#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace cactuspitch {

/// A request that took effect.
struct Execution
{
  std::string_view requestId_;
  std::string_view method_;
  std::string_view service_;
  std::string_view key_;
  Epoch epoch_ = 0;
  int64_t startUs_ = 0;
  /// Clock reading at which the lease was checked before the commit.
  int64_t commitUs_ = 0;
  std::string_view response_;
};

/// Records executed requests as JSON lines for the history checker, in memory
/// and optionally in a file. Thread-safe.
class ExecutionHistory
{
public:
  /// Lines are appended to aFile; empty for none.
  ExecutionHistory(std::string aServer,
                   std::string aIncarnation,
                   const std::string& aFile);

  void Record(const Execution& aExecution);
  /// The JSON lines kept in memory; lines beyond 64 MiB are left out.
  std::string Lines() const;

private:
  const std::string server_;
  const std::string incarnation_;
  mutable std::mutex mutex_;
  std::string lines_;
  std::ofstream file_;
};

/// CLOCK_BOOTTIME in microseconds; comparable between the processes of a
/// machine.
int64_t BootTimeUs();

}
