#include "ProcessFleet.hpp"

#include "common/HttpConnection.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kExitTimeoutMs = 5000;
constexpr TimeMs kCallTimeoutMs = 3000;
constexpr size_t kMaxResponseBytes = 64 << 20;
constexpr int kExecFailed = 127;

/// Null-terminated array of pointers to the strings, as execve() takes it.
std::vector<char*> NullTerminatedPointers(std::vector<std::string>& aTexts)
{
  std::vector<char*> pointers;
  std::ranges::transform(aTexts,
                         std::back_inserter(pointers),
                         [](std::string& aText) { return aText.data(); });
  pointers.push_back(nullptr);
  return pointers;
}

/// Runs in the forked child, where only async-signal-safe calls are allowed.
[[noreturn]] void Exec(const char* aProgram,
                       char* const* aArguments,
                       char* const* aEnvironment,
                       int aLog,
                       pid_t aParent)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParent) {
    _exit(kExecFailed);
  }
  dup2(aLog, STDOUT_FILENO);
  dup2(aLog, STDERR_FILENO);
  // Resets the signal mask, since the child inherits signals that the parent
  // has blocked.
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execve(aProgram, aArguments, aEnvironment);
  _exit(kExecFailed);
}

}

ProcessFleet::ProcessFleet(std::string aBinaryDir)
  : binaryDir_(std::move(aBinaryDir))
  , logDirectory_(Concat(binaryDir_, "/fleet/", getpid(), "-", clock_.NowMs()))
{
  std::filesystem::create_directories(logDirectory_);
}

ProcessFleet::~ProcessFleet()
{
  for (auto& [name, process] : processes_) {
    if (!process.reaped_) {
      kill(process.pid_, SIGKILL);
    }
  }
  for (auto& [name, process] : processes_) {
    Reap(process, detail::kExitTimeoutMs);
  }
}

void ProcessFleet::Launch(const std::string& aName,
                          const std::string& aProgram,
                          std::vector<std::string> aArguments,
                          const Environment& aSettings)
{
  const auto path = Concat(binaryDir_, "/", aProgram);
  aArguments.insert(aArguments.begin(), path);
  std::vector<std::string> environment;
  for (char** entry = environ; *entry; ++entry) {
    environment.emplace_back(*entry);
  }
  for (const auto& [name, value] : aSettings) {
    environment.push_back(Concat(name, "=", value));
  }
  const auto arguments = detail::NullTerminatedPointers(aArguments);
  const auto variables = detail::NullTerminatedPointers(environment);
  const auto logFile = Concat(logDirectory_, "/", aName, ".log");
  const int log =
    open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    detail::Exec(path.c_str(), arguments.data(), variables.data(), log, parent);
  }
  close(log);
  if (pid < 0) {
    throw std::runtime_error("fork failed");
  }
  processes_[aName] = { pid, false, 0 };
}

ProcessFleet::Process& ProcessFleet::Find(const std::string& aName)
{
  const auto found = processes_.find(aName);
  if (found == processes_.end()) {
    throw std::invalid_argument(Concat("no process named ", aName));
  }
  return found->second;
}

bool ProcessFleet::Reap(Process& aProcess, TimeMs aTimeoutMs)
{
  return WaitFor(aTimeoutMs, [&] {
    if (!aProcess.reaped_) {
      aProcess.reaped_ =
        waitpid(aProcess.pid_, &aProcess.status_, WNOHANG) == aProcess.pid_;
    }
    return aProcess.reaped_;
  });
}

bool ProcessFleet::IsRunning(const std::string& aName)
{
  return !Reap(Find(aName), 0);
}

pid_t ProcessFleet::Pid(const std::string& aName) const
{
  return processes_.at(aName).pid_;
}

void ProcessFleet::Signal(const std::string& aName, int aSignal)
{
  const auto& process = Find(aName);
  // The kernel may have reused the id of a reaped process.
  if (!process.reaped_) {
    kill(process.pid_, aSignal);
  }
}

void ProcessFleet::Kill(const std::string& aName)
{
  Signal(aName, SIGKILL);
  Reap(Find(aName), detail::kExitTimeoutMs);
}

void ProcessFleet::Pause(const std::string& aName)
{
  Signal(aName, SIGSTOP);
  siginfo_t info{};
  waitid(
    P_PID, static_cast<id_t>(Pid(aName)), &info, WSTOPPED | WEXITED | WNOWAIT);
}

void ProcessFleet::Resume(const std::string& aName)
{
  Signal(aName, SIGCONT);
}

std::optional<int> ProcessFleet::Terminate(const std::string& aName,
                                           TimeMs aTimeoutMs)
{
  Signal(aName, SIGTERM);
  auto& process = Find(aName);
  if (!Reap(process, aTimeoutMs)) {
    return std::nullopt;
  }
  return WIFEXITED(process.status_) ? WEXITSTATUS(process.status_)
                                    : -WTERMSIG(process.status_);
}

std::string ProcessFleet::LogTail(const std::string& aName) const
{
  constexpr std::streamoff kTailBytes = 2000;
  std::ifstream file(Concat(logDirectory_, "/", aName, ".log"));
  file.seekg(0, std::ios::end);
  const std::streamoff size = file.tellg();
  file.seekg(std::max<std::streamoff>(0, size - kTailBytes));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int64_t ProcessFleet::ResidentKb(const std::string& aName) const
{
  std::ifstream file(Concat("/proc/", Pid(aName), "/status"));
  std::string word;
  int64_t kilobytes = 0;
  while (file >> word) {
    if (word == "VmRSS:") {
      file >> kilobytes;
      break;
    }
  }
  return kilobytes;
}

std::optional<std::string> HttpCall(const std::string& aMethod,
                                    const std::string& aAddress,
                                    const std::string& aTarget,
                                    std::string_view aBody)
{
  constexpr int kOk = 200;
  const SteadyClock clock;
  HttpConnection connection(clock, aAddress);
  auto response = connection.Exchange({ aMethod, aTarget, {}, aBody },
                                      clock.NowMs() + detail::kCallTimeoutMs,
                                      detail::kMaxResponseBytes);
  if (!response.ok() || response->head_.status_ != kOk) {
    return std::nullopt;
  }
  return std::move(response->body_);
}

}
