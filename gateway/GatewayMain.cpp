#include "common/Version.hpp"
#include "gateway/Gateway.hpp"
#include "gateway/TerminationLog.hpp"
#include "platform/ObjectCodec.hpp"
#include "platform/RequestCodec.hpp"
#include "platform/SettingsFile.hpp"

#include <csignal>
#include <iostream>
#include <optional>

#include <unistd.h>

namespace {

using namespace cactuspitch;

constexpr std::string_view kProgram = "cactuspitch-gateway";
constexpr std::string_view kSummary =
  "Forwards callers' requests to the backend servers that own their keys.";
constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;

/// Returns the settings of the environment and of the platform's settings file.
Settings::Environment Environment(platform::SettingsFindings& aFindings)
{
  auto environment = ProcessEnvironment();
  const auto path = platform::SettingsFilePath(environment);
  if (path.empty()) {
    return environment;
  }
  return platform::ReadSettingsFile(path, std::move(environment), aFindings);
}

/// Reads and checks all settings. Returns nullopt when there are findings.
std::optional<GatewaySettings> ReadSettings(Settings& aSettings,
                                            SettingsAction& aAction,
                                            int aArgc,
                                            char** aArgv,
                                            Findings& aFindings)
{
  platform::SettingsFindings fileFindings;
  const auto environment = Environment(fileFindings);
  aFindings.Append(fileFindings.errors_);
  aAction = aSettings.Parse(aArgc, aArgv, environment);
  aFindings.Append(aSettings.GetFindings());
  if (aFindings.IsEmpty()) {
    CheckGatewaySettings(aSettings, aFindings);
  }
  if (!aFindings.IsEmpty()) {
    return std::nullopt;
  }
  auto result = ReadGatewaySettings(aSettings);
  result.notes_ = fileFindings.notes_;
  return result;
}

/// Returns the settings. Exits the process after printing the findings, or what
/// the command line requests instead of a run.
GatewaySettings ReadSettingsOrExit(int aArgc, char** aArgv)
{
  Findings findings;
  Settings settings(GatewaySettingSpecs());
  auto action = SettingsAction::Run;
  const auto result = ReadSettings(settings, action, aArgc, aArgv, findings);
  if (action == SettingsAction::ShowHelp) {
    std::cout << settings.HelpText(kProgram, kSummary);
    std::exit(0);
  }
  if (action == SettingsAction::ShowVersion) {
    std::cout << kProgram << " " << kVersion << "\n";
    std::exit(0);
  }
  if (!result) {
    std::cerr << findings.ToText();
    std::exit(kExitUsage);
  }
  if (settings.Boolean("check")) {
    std::cout << "settings are valid\n";
    std::exit(0);
  }
  return *result;
}

}

int main(int aArgc, char** aArgv)
{
  // Settings may change while they are read: SIGHUP stays pending until the
  // gateway handles it.
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_BLOCK, &reload, nullptr);
  const auto settings = ReadSettingsOrExit(aArgc, aArgv);
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  EventLog log(loop, settings.logLevel_, STDOUT_FILENO);
  const TerminationLog terminationLog(log);
  const platform::RequestCodec requests;
  const platform::CommandCodec orders;
  const platform::ObjectCodec objects;
  const platform::RegistryCodec registry;
  Gateway gateway(loop,
                  log,
                  settings,
                  { requests, orders, objects, registry },
                  [aArgc, aArgv](Findings& aFindings) {
                    Settings reloaded(GatewaySettingSpecs());
                    auto action = SettingsAction::Run;
                    return ReadSettings(
                      reloaded, action, aArgc, aArgv, aFindings);
                  });
  sigprocmask(SIG_UNBLOCK, &reload, nullptr);
  if (!gateway.Start()) {
    return kExitFailure;
  }
  loop.Run();
  return 0;
}
