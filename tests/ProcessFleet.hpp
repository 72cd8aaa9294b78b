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

/// Starts and controls child processes of a test or benchmark, by name. The
/// destructor kills all of them. If the parent thread dies first, the kernel
/// kills them (PR_SET_PDEATHSIG), so launch them from a thread that lives as
/// long as the fleet.
class ProcessFleet
{
public:
  /// Programs are looked up in aBinaryDir; the output of each process goes to
  /// its own log file below aBinaryDir/fleet.
  explicit ProcessFleet(std::string aBinaryDir);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  using Environment = std::map<std::string, std::string>;

  /// Starts aProgram under the name aName, which may be that of an ended
  /// process. aSettings are added to the environment. Throws if fork fails; a
  /// program that cannot be executed ends with status 127.
  void Launch(const std::string& aName,
              const std::string& aProgram,
              std::vector<std::string> aArguments,
              const Environment& aSettings = {});
  bool IsRunning(const std::string& aName);
  pid_t Pid(const std::string& aName) const;

  /// Sends SIGKILL and waits until the process has ended (5 s at most).
  void Kill(const std::string& aName);
  /// Sends SIGSTOP and waits until the process has stopped or ended.
  void Pause(const std::string& aName);
  void Resume(const std::string& aName);
  /// Sends SIGTERM and waits. Returns the exit status, the negative number of
  /// the signal that ended the process, or empty on timeout.
  std::optional<int> Terminate(const std::string& aName, TimeMs aTimeoutMs);

  /// Last 2000 bytes of the output of a process.
  std::string LogTail(const std::string& aName) const;
  std::string LogDirectory() const { return logDirectory_; }
  /// Resident memory in kilobytes; 0 if it cannot be read.
  int64_t ResidentKb(const std::string& aName) const;

private:
  struct Process
  {
    pid_t pid_ = 0;
    bool reaped_ = false;
    int status_ = 0;
  };

  Process& Find(const std::string& aName);
  /// Waits until the process has ended and reaps it; false on timeout.
  bool Reap(Process& aProcess, TimeMs aTimeoutMs);
  void Signal(const std::string& aName, int aSignal);

  SteadyClock clock_;
  std::string binaryDir_;
  std::string logDirectory_;
  std::map<std::string, Process> processes_;
};

/// Makes one HTTP call (3 s at most). Returns the body, or empty if the call
/// failed or the status is not 200.
std::optional<std::string> HttpCall(const std::string& aMethod,
                                    const std::string& aAddress,
                                    const std::string& aTarget,
                                    std::string_view aBody = {});

/// Polls every 10 ms until aCondition holds; false on timeout.
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
