#include "SubcommandRunner.hpp"
#include "common/Settings.hpp"
#include "common/Version.hpp"

#include <iostream>
#include <string_view>

int main(int argc, char** argv)
{
  using namespace cactuspitch;
  if (argc > 1 && std::string_view(argv[1]) == "--version") {
    std::cout << "cactuspitch-ctl " << kVersion << "\n";
    return static_cast<int>(CtlExit::Success);
  }
  Findings findings;
  const auto arguments =
    ParseCommandLine(argc, argv, ProcessEnvironment(), findings);
  if (!arguments) {
    std::cerr << findings.ToText();
    return static_cast<int>(CtlExit::Usage);
  }
  if (arguments->isHelp_) {
    std::cout << CtlHelp();
    return static_cast<int>(CtlExit::Success);
  }
  const SteadyClock clock;
  const ApiClient client(
    clock, { .address_ = arguments->admin_, .token_ = arguments->token_ });
  try {
    return static_cast<int>(
      SubcommandRunner(client, std::cout, std::cerr).Run(*arguments));
  } catch (const nlohmann::json::exception& failure) {
    std::cerr << "unexpected response: " << failure.what() << "\n";
    return static_cast<int>(CtlExit::Failure);
  }
}
