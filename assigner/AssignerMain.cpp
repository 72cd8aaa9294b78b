#include "AssignerProcess.hpp"
#include "common/Log.hpp"
#include "common/ProcessSettings.hpp"

#include <csignal>
#include <cstdlib>

namespace cactuspitch {
namespace {

std::vector<SettingSpec> Specs()
{
  using enum SettingType;
  return WithProcessSettings({
    { "rpc-listen", Address, "", "Thrift listen address for peers.", true },
    { "store", Address, "", "Address of the platform's object store.", true },
    { "slices",
      Integer,
      "256",
      "Number of slices in a new group.",
      false,
      1,
      4096 },
  });
}

int Run(int aArgc, char** aArgv)
{
  constexpr const char* kProgram = "cactuspitch-assigner";
  constexpr TimeMs kHandoverMs = 3000;
  Settings settings(Specs());
  settings.ParseOrExit(aArgc,
                       aArgv,
                       kProgram,
                       "Decides which backend server owns which keys.",
                       &CheckProcessSettings);
  InitLog(kProgram, ProcessLogLevel(settings));
  // sigwait() below receives the signals, so they are blocked in all threads.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  AssignerProcess process(
    { .instance_ = settings.Text("instance"),
      .failureDomain_ = settings.Text("failure-domain"),
      .listen_ = settings.Text("listen"),
      .rpcListen_ = settings.Text("rpc-listen"),
      .store_ = settings.Text("store"),
      .assigners_ = settings.List("assigners"),
      .secret_ = settings.Text("auth-token"),
      .slices_ = static_cast<size_t>(settings.Integer("slices")) });
  const auto started = process.Start();
  if (!started.ok()) {
    Log(LogLevel::Error, "start failed", { { "reason", started.message() } });
    return 1;
  }
  Log(LogLevel::Info, "started", { { "rpc", settings.Text("rpc-listen") } });
  int signal = 0;
  sigwait(&signals, &signal);
  Log(LogLevel::Info, "stopping", { { "signal", signal } });
  process.HandOver(kHandoverMs);
  Log(LogLevel::Info, "stopped");
  // The threads hold nothing that must be saved, and joining them would wait
  // for long polls of up to 10 s.
  std::_Exit(0);
}

}
}

int main(int aArgc, char** aArgv)
{
  return cactuspitch::Run(aArgc, aArgv);
}
