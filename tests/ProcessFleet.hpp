#pragma once

#include "common/Clock.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace cactuspitch {

/// Real processes of a test or a measurement, by name. All are ended by the
/// destructor; should this process die, the kernel ends them (so launch them
/// from a thread that lives as long as the fleet).
class ProcessFleet
{
public:
  /// Programs are taken from aBinaryDir; the output of each process goes to a
  /// file of its own below it.
  explicit ProcessFleet(std::string aBinaryDir);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  using Environment = std::map<std::string, std::string>;

  /// Replaces an ended process of the same name. aSettings are added to the
  /// environment.
  void Launch(const std::string& aName,
              const std::string& aProgram,
              std::vector<std::string> aArguments,
              const Environment& aSettings = {});
  bool IsRunning(const std::string& aName);
  pid_t Pid(const std::string& aName) const;

  /// SIGKILL; returns when the process is gone.
  void Kill(const std::string& aName);
  /// SIGSTOP; returns when the process has stopped.
  void Pause(const std::string& aName);
  void Resume(const std::string& aName);
  /// SIGTERM; the exit status, or empty when it did not end in time.
  std::optional<int> Terminate(const std::string& aName, TimeMs aTimeoutMs);

  /// Last lines of the output of a process.
  std::string LogTail(const std::string& aName) const;
  std::string LogDirectory() const { return logDirectory_; }
  /// Resident memory in kilobytes.
  int64_t ResidentKb(const std::string& aName) const;

private:
  struct Process
  {
    pid_t pid_ = 0;
    bool reaped_ = false;
    int status_ = 0;
  };

  Process& Find(const std::string& aName);
  /// Waits for the end; false on timeout.
  bool Reap(Process& aProcess, TimeMs aTimeoutMs);
  void Signal(const std::string& aName, int aSignal);

  SteadyClock clock_;
  std::string binaryDir_;
  std::string logDirectory_;
  std::map<std::string, Process> processes_;
};

/// One HTTP call; the body, or empty when it failed or the status is not 200.
std::optional<std::string> HttpCall(const std::string& aMethod,
                                    const std::string& aAddress,
                                    const std::string& aTarget,
                                    std::string_view aBody = {});

/// Waits until aCondition holds; false on timeout.
template<typename Condition>
bool WaitFor(TimeMs aTimeoutMs, Condition&& aCondition)
{
  constexpr auto kInterval = std::chrono::milliseconds(10);
  const SteadyClock clock;
  const TimeMs end = clock.NowMs() + aTimeoutMs;
  while (!aCondition()) {
    if (clock.NowMs() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

}
