#include "TcpFaultProxy.hpp"
#include "common/HttpServer.hpp"
#include "common/Log.hpp"
#include "common/Settings.hpp"
#include "common/TerminationSignal.hpp"

#include <cstdlib>

namespace cactuspitch {
namespace {

/// Serves PUT /_mode/{mode}, PUT /_silence-open, GET /_mode and GET /_health.
void HandleControl(TcpFaultProxy& aProxy, HttpExchange& aExchange)
{
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr std::string_view kPrefix = "/_mode/";
  const auto path = aExchange.Path();
  if (path == "/_silence-open") {
    aProxy.StallOpenConnections();
  } else if (path.starts_with(kPrefix)) {
    const auto mode = ParseEnum<ProxyMode>(path.substr(kPrefix.size()));
    if (!mode) {
      aExchange.Respond(kNotFound, {}, "no such mode\n");
      return;
    }
    aProxy.SetMode(*mode);
  } else if (path != "/_mode" && path != "/_health") {
    aExchange.Respond(kNotFound, {}, "no such resource\n");
    return;
  }
  aExchange.Respond(kOk, {}, EnumName(aProxy.Mode()));
}

}
}

int main(int argc, char** argv)
{
  using namespace cactuspitch;
  Settings settings({
    { "listen",
      SettingType::Address,
      "",
      "Address to accept connections at.",
      true },
    { "target", SettingType::Address, "", "Address to forward to.", true },
    { "control",
      SettingType::Address,
      "",
      "Address of the control interface.",
      true },
  });
  settings.ParseOrExit(
    argc, argv, "standin-cut", "TCP proxy that injects network faults.");
  const TerminationSignal termination;
  InitLog("standin-cut", LogLevel::Info);
  TcpFaultProxy proxy(settings.Text("listen"), settings.Text("target"));
  HttpServer control(
    { .listen_ = settings.Text("control"), .threads_ = 4 },
    [&](HttpExchange& aExchange) { HandleControl(proxy, aExchange); });
  for (const auto& started : { proxy.Start(), control.Start() }) {
    if (!started.ok()) {
      Log(LogLevel::Error, "start failed", { { "reason", started.message() } });
      return EXIT_FAILURE;
    }
  }
  termination.Wait();
  control.Stop();
  proxy.Stop();
  return EXIT_SUCCESS;
}
