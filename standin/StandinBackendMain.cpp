#include "StandinBackend.hpp"
#include "common/Log.hpp"
#include "common/Settings.hpp"
#include "common/TerminationSignal.hpp"

#include <cstdlib>

namespace cactuspitch {
namespace {

std::vector<SettingSpec> Specs()
{
  using enum SettingType;
  return {
    { "listen", Address, "", "Address to serve at.", true },
    { "advertise", Address, "", "Address to register." },
    { "id", Text, "", "Name to register.", true },
    { "service", Text, "", "Service to register for.", true },
    { "failure-domain", Text, "local", "Failure domain." },
    { "store", Address, "", "Store to register with." },
    { "history", Text, "", "File for one line per execution." },
    { "keep-history", Boolean, "true", "Record executions." },
    { "slots", Integer, "5", "Requests run at once.", false, 1, 10000 },
    { "queue", Integer, "5", "Requests that may wait.", false, 0, 10000 },
    { "connections", Integer, "100", "Connections.", false, 1, 10000 },
    { "service-us", Integer, "0", "Service time in microseconds." },
    { "connect-ms", Integer, "1", "Delay of a new connection." },
    { "cold-start-ms", Integer, "0", "Time until the server is warm." },
    { "cold-factor", Integer, "4", "Cold service time, as a multiple." },
    { "clock-offset-ms", Integer, "0", "Offset added to the clock." },
    { "checks-fence", Boolean, "true", "Check grants and requests." },
    { "accept-direct", Boolean, "false", "Run requests without an epoch." },
  };
}

StandinBackendOptions ToOptions(const Settings& aSettings)
{
  const auto integer = [&](const char* aName) {
    return static_cast<int>(aSettings.Integer(aName));
  };
  StandinBackendOptions options;
  options.id_ = aSettings.Text("id");
  options.service_ = aSettings.Text("service");
  options.failureDomain_ = aSettings.Text("failure-domain");
  options.listen_ = aSettings.Text("listen");
  options.advertise_ = aSettings.Text("advertise");
  options.store_ = aSettings.Text("store");
  options.history_ = aSettings.Text("history");
  options.keepsHistory_ = aSettings.Boolean("keep-history");
  options.slots_ = integer("slots");
  options.queue_ = integer("queue");
  options.connections_ = integer("connections");
  options.serviceUs_ = aSettings.Integer("service-us");
  options.connectCostMs_ = aSettings.Integer("connect-ms");
  options.coldStartMs_ = aSettings.Integer("cold-start-ms");
  options.coldFactor_ = static_cast<double>(aSettings.Integer("cold-factor"));
  options.clockOffsetMs_ = aSettings.Integer("clock-offset-ms");
  options.checksFence_ = aSettings.Boolean("checks-fence");
  options.acceptsDirect_ = aSettings.Boolean("accept-direct");
  return options;
}

}
}

int main(int argc, char** argv)
{
  using namespace cactuspitch;
  Settings settings(Specs());
  settings.ParseOrExit(
    argc, argv, "standin-backend", "Stand-in for a backend server.");
  const TerminationSignal termination;
  InitLog("standin-backend", LogLevel::Info);
  const SteadyClock clock;
  StandinBackend backend(clock, ToOptions(settings));
  const auto started = backend.Start();
  if (!started.ok()) {
    Log(LogLevel::Error, "start failed", { { "reason", started.message() } });
    return EXIT_FAILURE;
  }
  termination.Wait();
  backend.Stop();
  return EXIT_SUCCESS;
}
