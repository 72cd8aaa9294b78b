#include "AdminProcess.hpp"
#include "common/Log.hpp"
#include "common/TerminationSignal.hpp"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
  using namespace cactuspitch;
  constexpr int kExitUsage = 2;
  Settings settings(AdminSettings());
  settings.ParseOrExit(
    argc, argv, "cactuspitch-admin", "Administration API and SLO burn report.");
  Findings findings;
  CheckAdminSettings(settings, findings);
  if (!findings.IsEmpty()) {
    std::cerr << "cactuspitch-admin: invalid settings\n" << findings.ToText();
    return kExitUsage;
  }
  const TerminationSignal termination;
  InitLog("cactuspitch-admin",
          *ParseEnum<LogLevel>(settings.Text("log-level")));
  const SteadyClock clock;
  AdminProcess process(clock,
                       { settings.Text("instance"),
                         settings.Text("failure-domain"),
                         settings.Text("listen"),
                         settings.Text("store"),
                         settings.Text("auth-token"),
                         settings.List("assigners"),
                         settings.Integer("slo-interval-ms") });
  const auto started = process.Start();
  if (!started.ok()) {
    Log(LogLevel::Error, "start failed", { { "reason", started.message() } });
    return EXIT_FAILURE;
  }
  Log(LogLevel::Info, "started", { { "listen", settings.Text("listen") } });
  termination.Wait();
  process.Stop();
  return EXIT_SUCCESS;
}
