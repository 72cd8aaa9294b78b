#include "AdminProcess.hpp"
#include "common/Log.hpp"
#include "common/ProcessSettings.hpp"
#include "common/TerminationSignal.hpp"

#include <cstdlib>

int main(int argc, char** argv)
{
  using namespace cactuspitch;
  Settings settings(AdminSettings());
  settings.ParseOrExit(argc,
                       argv,
                       "cactuspitch-admin",
                       "Administration API and SLO burn report.",
                       &CheckProcessSettings);
  const TerminationSignal termination;
  InitLog("cactuspitch-admin", ProcessLogLevel(settings));
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
