#include "Router.hpp"
#include "common/Log.hpp"
#include "common/TerminationSignal.hpp"

#include <cstdlib>
#include <iostream>

int main(int aArgc, char** aArgv)
{
  using namespace cactuspitch;
  Settings flags(RouterSettingSpecs());
  flags.ParseOrExit(
    aArgc,
    aArgv,
    "cactuspitch-router",
    "Forwards callers' requests to the backend servers that own their keys.",
    &CheckRouterSettings);
  const auto settings = ReadRouterSettings(flags);
  const TerminationSignal termination;
  InitLog("router", settings.logLevel_);
  const SteadyClock clock;
  TableFollower follower(clock,
                         { .instance_ = settings.instance_,
                           .role_ = "router",
                           .assigners_ = settings.assigners_,
                           .secret_ = settings.secret_ });
  FollowerRoutingTables tables(follower);
  Router router(clock, settings, tables);
  follower.Start();
  const auto started = router.Start();
  if (!started.ok()) {
    std::cerr << "cactuspitch-router: " << started.message() << "\n";
    return EXIT_FAILURE;
  }
  Log(LogLevel::Info,
      "router started",
      { { "listen", settings.listen_ },
        { "rpcListen", settings.rpcListen_ },
        { "instance", settings.instance_ } });
  termination.Wait();
  const bool clean = router.StopGracefully();
  follower.Stop();
  return clean ? EXIT_SUCCESS : EXIT_FAILURE;
}
