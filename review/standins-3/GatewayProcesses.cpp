#include "GatewayProcesses.hpp"

#include "common/Strings.hpp"
#include "tests/ScriptedServer.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

// As in the deploy file. Paths are relative to the repository's root.
constexpr const char* kProgram = "target/cactuspitch-gateway";
constexpr const char* kTemplate = "deploy/gateway.env";
// Those of sites/eawhs-gw.toml.
constexpr const char* kBounds =
  R"({"seed-lag-s":3,"addr-reuse-s":2,"stable-window-s":3,"ack-s":4,)"
  R"("catch-up-s":4,"drain-s":2,"grace-s":6,"loss-slack-s":0.2,)"
  R"("config-apply-s":2,"downgrade-slack-s":0.25,"outer-s":5,)"
  R"("retry-budget-ratio":0.2,"retry-window-s":10,"retry-budget-extra":56,)"
  R"("recovery-s":15,"hold-max-s":10,"thaw-slack-s":0.3})";
constexpr const char* kLimits =
  R"({"cpu-share":0.2,"cores":1,"memory-mb":260,"max-fds":4100,)"
  R"("link-mbps":1000.0,"disk-mb":0})";

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error(Concat("cannot read ", aPath));
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string RenderSettings(const GatewayAddresses& aAddresses)
{
  const std::string ip = "127.0.0.1";
  const std::array<std::pair<std::string, std::string>, 10> values = { {
    { "{{node-name}}", aAddresses.name_ },
    { "{{zone}}", aAddresses.zone_ },
    { "{{listen.front}}", aAddresses.front_.ToText() },
    { "{{listen.ready}}", aAddresses.ready_.ToText() },
    { "{{ip}}", ip },
    { "{{internal-ports.0}}", std::to_string(aAddresses.peer_.port_) },
    { "{{internal-ports.1}}", std::to_string(aAddresses.metrics_.port_) },
    { "{{platform.address}}", aAddresses.store_.ToText() },
    { "{{bounds|json}}", kBounds },
    { "{{limits|json}}", kLimits },
  } };
  auto text = ReadFile(kTemplate);
  for (const auto& [placeholder, value] : values) {
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + value.size())) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

}

GatewayAddresses NewGatewayAddresses(const std::string& aName,
                                     const std::string& aZone,
                                     const Endpoint& aStore)
{
  return { aName,          aZone,          FreeEndpoint(), FreeEndpoint(),
           FreeEndpoint(), FreeEndpoint(), aStore };
}

GatewayProcesses::GatewayProcesses()
{
  auto path =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  folder_ = path;
}

GatewayProcesses::~GatewayProcesses()
{
  EndAll();
}

void GatewayProcesses::EndAll()
{
  for (const auto& [name, pid] : std::exchange(processes_, {})) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

void GatewayProcesses::Start(const GatewayAddresses& aAddresses)
{
  const auto settings = Concat(folder_, "/", aAddresses.name_, ".env");
  std::ofstream(settings) << detail::RenderSettings(aAddresses);
  auto variable = Concat("CACTUSPITCH_NODE_FILE=", settings);
  std::string program = detail::kProgram;
  std::array<char*, 2> arguments = { program.data(), nullptr };
  std::array<char*, 2> environment = { variable.data(), nullptr };
  const auto log = LogPath(aAddresses.name_);
  const int fd =
    ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::execve(program.c_str(), arguments.data(), environment.data());
    constexpr int kExecFailed = 127;
    ::_exit(kExecFailed);
  }
  ::close(fd);
  if (pid < 0) {
    throw std::runtime_error("fork failed");
  }
  processes_[aAddresses.name_] = pid;
}

void GatewayProcesses::Signal(const std::string& aName, int aSignal)
{
  const auto found = processes_.find(aName);
  if (found != processes_.end()) {
    ::kill(found->second, aSignal);
  }
}

bool GatewayProcesses::HasEnded(const std::string& aName, int* aStatus)
{
  const auto found = processes_.find(aName);
  if (found == processes_.end()) {
    return true;
  }
  int status = 0;
  if (::waitpid(found->second, &status, WNOHANG) != found->second) {
    return false;
  }
  processes_.erase(found);
  if (aStatus != nullptr) {
    *aStatus = status;
  }
  return true;
}

std::string GatewayProcesses::LogPath(const std::string& aName) const
{
  return Concat(folder_, "/", aName, ".log");
}

}
