#include "common/Strings.hpp"
#include "tests/ProcessFleet.hpp"
#include "tests/ScriptedServer.hpp"

#include <csignal>
#include <filesystem>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

// Guards against a process that ends, or keeps outdated settings, because the
// settings change while it starts.
TEST(GatewayProcess, SettingsMayChangeWhileItStarts)
{
  // A settings file (FIFO) that can be read only when this test writes to it.
  const auto path = Concat(testing::TempDir(), "settings-", getpid(), ".env");
  ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
  int file = -1;
  // Opens the file as soon as the process reads it.
  const auto openForReader = [&] {
    return WaitFor(5000, [&] {
      file = open(path.c_str(), O_WRONLY | O_NONBLOCK);
      return file >= 0;
    });
  };
  const auto write = [&] {
    const std::string text = "CACTUSPITCH_INSTANCE=g\n";
    EXPECT_EQ(::write(file, text.data(), text.size()), std::ssize(text));
    close(file);
  };
  ProcessFleet fleet(BINARY_DIR);
  const auto hasLogged = [&](const char* aEvent) {
    return WaitFor(5000, [&] {
      return fleet.LogTail("gateway").find(aEvent) != std::string::npos;
    });
  };
  fleet.Launch("gateway",
               "cactuspitch-gateway",
               {},
               { { "CACTUSPITCH_NODE_FILE", path },
                 { "CACTUSPITCH_FAILURE_DOMAIN", "z" },
                 { "CACTUSPITCH_LISTEN", FreeEndpoint().ToText() },
                 { "CACTUSPITCH_READY_LISTEN", FreeEndpoint().ToText() },
                 { "CACTUSPITCH_PEER_LISTEN", FreeEndpoint().ToText() },
                 { "CACTUSPITCH_METRICS_LISTEN", FreeEndpoint().ToText() },
                 { "CACTUSPITCH_STORE", FreeEndpoint().ToText() } });
  ASSERT_TRUE(openForReader());
  kill(fleet.Pid("gateway"), SIGHUP);
  constexpr auto kSignalDelay = std::chrono::milliseconds(50);
  std::this_thread::sleep_for(kSignalDelay);
  ASSERT_TRUE(fleet.IsRunning("gateway"));
  write();
  ASSERT_TRUE(hasLogged("settings-in-force"));
  ASSERT_TRUE(openForReader()) << "the pending signal was lost";
  write();
  EXPECT_TRUE(hasLogged("settings-reloaded")) << fleet.LogTail("gateway");
  EXPECT_TRUE(fleet.IsRunning("gateway"));
  std::filesystem::remove(path);
}

}
}
