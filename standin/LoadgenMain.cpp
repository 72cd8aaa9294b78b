#include "LoadGenerator.hpp"
#include "common/Settings.hpp"

#include <cstdlib>
#include <iostream>

namespace cactuspitch {
namespace {

std::vector<SettingSpec> Specs()
{
  using enum SettingType;
  return {
    { "targets", AddressList, "", "Entry instances.", true },
    { "services", Text, "", "Services, comma separated.", true },
    { "rate", Integer, "100", "Requests per second; 0: closed loop." },
    { "duration-ms", Integer, "5000", "Duration of the load." },
    { "warmup-ms", Integer, "0", "Time excluded from goodput." },
    { "connections", Integer, "8", "Connections.", false, 1, 2000 },
    { "keys", Integer, "1000", "Keys per service.", false, 1, 10000000 },
    { "zipf-percent", Integer, "90", "Zipf exponent times 100." },
    { "seed", Integer, "1", "Seed of the random choices." },
    { "hot-change-ms", Integer, "0", "Hot set change interval; 0: never." },
    { "post-percent", Integer, "20", "Percentage of POST.", false, 0, 100 },
    { "deadline-ms", Integer, "2000", "Deadline of a request.", false, 1 },
    { "max-sends", Integer, "3", "Attempts per request.", false, 1, 100 },
    { "blob-bytes", Integer, "0", "Size of downloads; 0: none." },
    { "id-prefix", Text, "load", "Prefix of the request ids." },
    { "history", Text, "", "File for one line per attempt." },
    { "ready-check-ms", Integer, "0", "Readiness check interval; 0: none." },
    { "epoch", Integer, "0", "X-Slice-Epoch to send; 0: none." },
  };
}

LoadOptions ToOptions(const Settings& aSettings)
{
  constexpr double kPercent = 100;
  const auto number = [&](const char* aName) {
    return static_cast<double>(aSettings.Integer(aName));
  };
  LoadOptions options;
  options.targets_ = aSettings.List("targets");
  options.services_ = aSettings.List("services");
  options.rate_ = number("rate");
  options.durationMs_ = aSettings.Integer("duration-ms");
  options.warmupMs_ = aSettings.Integer("warmup-ms");
  options.connections_ = static_cast<int>(aSettings.Integer("connections"));
  options.keys_ = static_cast<size_t>(aSettings.Integer("keys"));
  options.zipfExponent_ = number("zipf-percent") / kPercent;
  options.seed_ = static_cast<uint64_t>(aSettings.Integer("seed"));
  options.hotSetChangeMs_ = aSettings.Integer("hot-change-ms");
  options.postPercent_ = static_cast<int>(aSettings.Integer("post-percent"));
  options.deadlineMs_ = aSettings.Integer("deadline-ms");
  options.maxAttempts_ = static_cast<int>(aSettings.Integer("max-sends"));
  options.blobBytes_ = static_cast<uint64_t>(aSettings.Integer("blob-bytes"));
  options.idPrefix_ = aSettings.Text("id-prefix");
  options.history_ = aSettings.Text("history");
  options.readyCheckMs_ = aSettings.Integer("ready-check-ms");
  options.epoch_ = aSettings.Integer("epoch");
  return options;
}

}
}

int main(int argc, char** argv)
{
  using namespace cactuspitch;
  Settings settings(Specs());
  settings.ParseOrExit(argc,
                       argv,
                       "loadgen",
                       "Generates load and prints a report as JSON. Exits "
                       "with 1 when a response belonged to another request or "
                       "a truncated response looked complete.");
  const SteadyClock clock;
  const auto report = RunLoad(clock, ToOptions(settings));
  std::cout << report.ToJson().dump(2) << "\n";
  return report.Count(LoadOutcome::Mismatched) == 0 ? EXIT_SUCCESS
                                                    : EXIT_FAILURE;
}
