#pragma once

#include "common/Types.hpp"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace cactuspitch {

/// One request that took effect.
struct Execution
{
  std::string_view requestId_;
  std::string_view method_;
  std::string_view service_;
  std::string_view key_;
  Epoch epoch_ = 0;
  int64_t startUs_ = 0;
  /// The clock reading that the lease was checked against.
  int64_t commitUs_ = 0;
  std::string_view response_;
};

/// Lines of JSON, one for each execution, for the history checker.
class ExecutionHistory
{
public:
  /// aFile may be empty.
  ExecutionHistory(std::string aServer,
                   std::string aIncarnation,
                   const std::string& aFile);

  void Record(const Execution& aExecution);
  std::string Lines() const;

private:
  const std::string server_;
  const std::string incarnation_;
  mutable std::mutex mutex_;
  std::string lines_;
  std::ofstream file_;
};

/// CLOCK_BOOTTIME in microseconds, the same in all processes of a machine.
int64_t BootTimeUs();

}
