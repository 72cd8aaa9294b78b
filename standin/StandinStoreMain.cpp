#include "StandinStore.hpp"
#include "common/Log.hpp"
#include "common/Settings.hpp"
#include "common/TerminationSignal.hpp"

#include <cstdlib>

int main(int argc, char** argv)
{
  using namespace cactuspitch;
  Settings settings({
    { "listen", SettingType::Address, "", "Address to serve at.", true },
  });
  settings.ParseOrExit(
    argc, argv, "standin-store", "Stand-in for the platform's object store.");
  const TerminationSignal termination;
  InitLog("standin-store", LogLevel::Info);
  const SteadyClock clock;
  StandinStore store(clock, settings.Text("listen"));
  const auto started = store.Start();
  if (!started.ok()) {
    Log(LogLevel::Error, "start failed", { { "reason", started.message() } });
    return EXIT_FAILURE;
  }
  termination.Wait();
  store.Stop();
  return EXIT_SUCCESS;
}
