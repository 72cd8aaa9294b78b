// Runs a simulated store and backend servers on loopback for manual tests of a
// gateway, and prints the commands that start and call it. Ends on SIGINT or
// SIGTERM.

#include "tests/SoakBackend.hpp"

#include <csignal>
#include <cstdio>

namespace cactuspitch {
namespace {

constexpr int kServers = 3;

void PutConfig(PlatformStore& aStore)
{
  using Json = nlohmann::json;
  aStore.Put(
    "config",
    "main",
    { { "version", "r1" },
      { "services",
        Json::array({ { { "name", "plain" }, { "max-connections", 100 } } }) },
      { "limits",
        { { "max-header-bytes", 8192 },
          { "max-body-bytes", 100000 },
          { "header-timeout-s", 2 },
          { "idle-timeout-s", 15 } } },
      { "virtual-hosts",
        Json::array(
          { { { "host", "demo" },
              { "paths",
                Json::array({ { { "name", "safe" },
                                { "path-prefix", "/safe/" },
                                { "kind", "safe" },
                                { "service", "plain" },
                                { "timeout-s", 2.0 },
                                { "target-latency-s", 0.3 },
                                { "priority", 1 },
                                { "max-attempts", 2 } } }) } } }) } });
}

void PrintCommands(const PlatformStore& aStore)
{
  std::printf("store at %s; start a gateway with\n"
              "  build/cactuspitch-gateway --instance g1 --failure-domain z0 "
              "--listen 127.0.0.1:8080 --ready-listen 127.0.0.1:8081 "
              "--peer-listen 127.0.0.1:8082 --metrics-listen 127.0.0.1:8083 "
              "--store %s\n"
              "and call it with\n"
              "  curl -H 'Host: demo' -H 'Cactuspitch-Request-Id: r1' "
              "http://127.0.0.1:8080/safe/hello\n",
              aStore.Address().ToText().c_str(),
              aStore.Address().ToText().c_str());
  std::fflush(stdout);
}

int Run()
{
  EventLoop loop;
  // SoakBackend needs a journal; its checks are not used here.
  SoakJournal journal(loop, 1);
  PlatformStore store(loop, kPlatformPages);
  PutConfig(store);
  std::vector<std::unique_ptr<SoakBackend>> servers;
  for (int index = 0; index < kServers; ++index) {
    SoakBackend::Options options;
    options.name_ = "p" + std::to_string(index);
    options.service_ = "plain";
    options.failureDomain_ = "z0";
    servers.push_back(std::make_unique<SoakBackend>(
      loop, store, journal, options, static_cast<uint32_t>(index)));
  }
  SignalWatcher onInterrupt(loop, SIGINT, [&] { loop.Stop(); });
  SignalWatcher onTerminate(loop, SIGTERM, [&] { loop.Stop(); });
  PrintCommands(store);
  loop.Run();
  return 0;
}

}
}

int main()
{
  return cactuspitch::Run();
}
