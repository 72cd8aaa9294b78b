#include "common/Version.hpp"
#include "gateway/Gateway.hpp"
#include "platform/Objects.hpp"
#include "platform/Requests.hpp"
#include "platform/SettingsFile.hpp"

#include <csignal>
#include <iostream>

#include <unistd.h>

namespace {

using namespace cactuspitch;

constexpr std::string_view kProgram = "cactuspitch-gateway";
constexpr std::string_view kSummary =
  "Forwards callers' requests to the backend servers that own their keys.";
constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;

/// Settings from the environment and the platform's settings file.
Settings::Environment Environment(Findings& aFindings)
{
  auto environment = ProcessEnvironment();
  const auto path = platform::SettingsFilePath(environment);
  if (path.empty()) {
    return environment;
  }
  return platform::ReadSettingsFile(path, std::move(environment), aFindings);
}

/// Checks all settings; prints the findings and ends the process if any.
GatewaySettings ReadSettings(int aArgc, char** aArgv)
{
  Findings findings;
  const auto environment = Environment(findings);
  Settings settings(GatewaySettingSpecs());
  const auto action = settings.Parse(aArgc, aArgv, environment);
  if (action == SettingsAction::ShowHelp) {
    std::cout << settings.HelpText(kProgram, kSummary);
    std::exit(0);
  }
  if (action == SettingsAction::ShowVersion) {
    std::cout << kProgram << " " << kVersion << "\n";
    std::exit(0);
  }
  findings.Append(settings.GetFindings());
  if (findings.IsEmpty()) {
    CheckGatewaySettings(settings, findings);
  }
  if (!findings.IsEmpty()) {
    std::cerr << findings.ToText();
    std::exit(kExitUsage);
  }
  return ReadGatewaySettings(settings);
}

}

int main(int aArgc, char** aArgv)
{
  const auto settings = ReadSettings(aArgc, aArgv);
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  EventLog log(loop, settings.logLevel_, STDOUT_FILENO);
  const platform::Requests requests;
  const platform::Orders orders;
  const platform::Objects objects;
  const platform::Registry registry;
  Gateway gateway(
    loop, log, settings, { requests, orders, objects, registry }, [&] {
      // The addresses stay as they are until the next start; what is wrong in
      // the new file is told now.
      Findings findings;
      Environment(findings);
      log.Write(LogLevel::Info,
                "settings-reloaded",
                { { "findings", findings.ToText() } });
    });
  if (!gateway.Start()) {
    return kExitFailure;
  }
  loop.Run();
  return 0;
}
