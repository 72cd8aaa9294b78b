#include "LinkCut.hpp"
#include "common/HttpServer.hpp"
#include "common/Log.hpp"
#include "common/Settings.hpp"
#include "common/TerminationSignal.hpp"

#include <cstdlib>

namespace cactuspitch {
namespace {

/// PUT /_mode/{mode}, PUT /_silence-open, GET /_mode, GET /_health.
void HandleControl(LinkCut& aLink, HttpExchange& aExchange)
{
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr std::string_view kPrefix = "/_mode/";
  const auto path = aExchange.Path();
  if (path == "/_silence-open") {
    aLink.SilenceOpen();
  } else if (path.starts_with(kPrefix)) {
    const auto mode = ParseEnum<LinkMode>(path.substr(kPrefix.size()));
    if (!mode) {
      aExchange.Respond(kNotFound, {}, "no such mode\n");
      return;
    }
    aLink.SetMode(*mode);
  } else if (path != "/_mode" && path != "/_health") {
    aExchange.Respond(kNotFound, {}, "no such resource\n");
    return;
  }
  aExchange.Respond(kOk, {}, EnumName(aLink.Mode()));
}

}
}

int main(int argc, char** argv)
{
  using namespace cactuspitch;
  Settings settings({
    { "listen", SettingType::Address, "", "Address to forward from.", true },
    { "target", SettingType::Address, "", "Address to forward to.", true },
    { "control", SettingType::Address, "", "Address of the controls.", true },
  });
  settings.ParseOrExit(
    argc, argv, "standin-cut", "Forwards TCP and shows network faults.");
  const TerminationSignal termination;
  InitLog("standin-cut", LogLevel::Info);
  LinkCut link(settings.Text("listen"), settings.Text("target"));
  HttpServer control(
    { .listen_ = settings.Text("control"), .threads_ = 4 },
    [&](HttpExchange& aExchange) { HandleControl(link, aExchange); });
  for (const auto& started : { link.Start(), control.Start() }) {
    if (!started.ok()) {
      Log(LogLevel::Error, "start failed", { { "reason", started.message() } });
      return EXIT_FAILURE;
    }
  }
  termination.Wait();
  control.Stop();
  link.Stop();
  return EXIT_SUCCESS;
}
