#include "CommandLine.hpp"

#include "common/Settings.hpp"
#include "common/Strings.hpp"

#include <algorithm>

#include <getopt.h>

namespace cactuspitch {

namespace detail {

constexpr CtlOption kService = { "service", "Service." };
constexpr CtlOption kDomain = { "failure-domain", "Failure domain." };
constexpr CtlOption kServer = { "server", "Backend server." };
constexpr CtlOption kKey = { "key", "Key; needs --service." };
constexpr CtlOption kAuthor = { "author", "Author of the change." };
constexpr CtlOption kReason = { "reason", "Reason for the change." };
constexpr CtlOption kBase = {
  "base-version",
  "Version that the change is based on; the newest by default."
};
constexpr CtlOption kChangeId = {
  "change-id",
  "Id of the change; reuse it to repeat a change of unknown outcome."
};
constexpr CtlOption kSet = { "set",
                             "Sets a default, given as FIELD=VALUE.",
                             false,
                             true };
constexpr CtlOption kAdd = {
  "add",
  "Adds an exception, given as JSON: {id, scope, field, value, "
  "reason, expires}.",
  false,
  true
};
constexpr CtlOption kRetire = { "retire",
                                "Removes the exception with this id.",
                                false,
                                true };

CtlOption Required(CtlOption aOption)
{
  aOption.required_ = true;
  return aOption;
}

constexpr int kHelpCode = 1;
constexpr int kJsonCode = 2;
constexpr int kAdminCode = 3;
constexpr int kTokenCode = 4;
constexpr int kFirstOption = 256;

std::vector<option> LongOptions(const CtlCommand& aCommand)
{
  std::vector<option> options = {
    { "help", no_argument, nullptr, kHelpCode },
    { "json", no_argument, nullptr, kJsonCode },
    { "admin", required_argument, nullptr, kAdminCode },
    { "auth-token", required_argument, nullptr, kTokenCode },
  };
  int code = kFirstOption;
  for (const auto& entry : aCommand.options_) {
    options.push_back({ entry.name_, required_argument, nullptr, code++ });
  }
  options.push_back({ nullptr, 0, nullptr, 0 });
  return options;
}

void CheckOptions(const CtlArguments& aArguments, Findings& aFindings)
{
  for (const auto& entry : aArguments.command_->options_) {
    const auto& values = aArguments.Values(entry.name_);
    const auto name = Concat("--", entry.name_);
    if (entry.required_ && values.empty()) {
      aFindings.Add("command line", name, "", "required");
    }
    if (!entry.repeated_ && values.size() > 1) {
      aFindings.Add(
        "command line", name, values.back(), "given more than once");
    }
    if (std::ranges::find(values, "") != values.end()) {
      aFindings.Add("command line", name, "", "may not be empty");
    }
  }
  if (aArguments.command_->usesAdmin_ && !IsValidAddress(aArguments.admin_)) {
    aFindings.Add("command line",
                  "--admin",
                  aArguments.admin_,
                  "expected IP:port, here or in CACTUSPITCH_ADMIN");
  }
}

void ParseOptions(int aArgc,
                  char** aArgv,
                  CtlArguments& aArguments,
                  Findings& aFindings)
{
  const auto options = LongOptions(*aArguments.command_);
  // optind = 0 makes glibc restart its scan; otherwise a process (a test) could
  // parse only one command line.
  optind = 0;
  opterr = 0;
  int code = 0;
  while ((code = getopt_long(aArgc, aArgv, ":", options.data(), nullptr)) !=
         -1) {
    if (code == kHelpCode) {
      aArguments.isHelp_ = true;
    } else if (code == kJsonCode) {
      aArguments.isJson_ = true;
    } else if (code == kAdminCode) {
      aArguments.admin_ = optarg;
    } else if (code == kTokenCode) {
      aArguments.token_ = optarg;
    } else if (code == '?' || code == ':') {
      aFindings.Add("command line",
                    aArgv[optind - 1],
                    "",
                    code == '?' ? "unknown flag" : "flag needs a value");
    } else {
      const auto index = static_cast<size_t>(code - kFirstOption);
      aArguments.values_[aArguments.command_->options_[index].name_].push_back(
        optarg);
    }
  }
  for (; optind < aArgc; ++optind) {
    aFindings.Add(
      "command line", "argument", aArgv[optind], "unexpected argument");
  }
}

}

std::span<const CtlCommand> CtlCommands()
{
  using namespace detail;
  static const std::vector<CtlCommand> kCommands = {
    { "defaults",
      "Shows the defaults; with --set changes them.",
      { kSet, kAuthor, kReason, kBase, kChangeId } },
    { "exceptions",
      "Lists exceptions; with --add or --retire changes them.",
      { kService,
        kDomain,
        kServer,
        kKey,
        kAdd,
        kRetire,
        kAuthor,
        kReason,
        kBase,
        kChangeId } },
    { "rules",
      "Shows the rules in force and the reason for each.",
      { kService, kDomain, kServer, kKey } },
    { "preview",
      "Shows which rules a change would alter.",
      { kSet, kAdd, kRetire, kAuthor, kReason, kBase } },
    { "history",
      "Shows the recorded changes.",
      { { "since", "Only changes after this version." } } },
    { "versions", "Shows the version in force on each process.", {} },
    { "wait",
      "Waits until a version is in force everywhere.",
      { { "version", "Version to wait for.", true },
        { "timeout-ms", "At most 25000; 5000 when absent." } } },
    { "owner",
      "Shows the owner of a key, its epoch and the time since it owns the key.",
      { Required(kService), Required(kKey) } },
    { "slices",
      "Lists the slices of a service with their load.",
      { Required(kService),
        { "offset", "First slice to list." },
        { "limit", "At most 1000." } } },
    { "moves", "Lists the moves of the last hour.", { kService } },
    { "measures",
      "Shows imbalance, churn and unavailable time.",
      { kService } },
    { "quarantine",
      "Lists quarantined requests; with --release admits one again.",
      { { "release", "Fingerprint to release." }, kAuthor, kReason } },
    { "explain",
      "Explains a failed request from the logs of the gateways.",
      { { "id", "Id of the request.", true },
        { "log", "Log file, named after its process.", true, true } },
      false },
    { "slo",
      "Shows the SLO burn report.",
      { kService,
        { "html", "Writes the report as an HTML page to this file." } } },
  };
  return kCommands;
}

std::string CtlArguments::Value(const std::string& aName) const
{
  const auto& values = Values(aName);
  return values.empty() ? std::string() : values.back();
}

const std::vector<std::string>& CtlArguments::Values(
  const std::string& aName) const
{
  static const std::vector<std::string> kNone;
  const auto found = values_.find(aName);
  return found == values_.end() ? kNone : found->second;
}

std::optional<CtlArguments> ParseCommandLine(
  int aArgc,
  char** aArgv,
  const std::map<std::string, std::string>& aEnvironment,
  Findings& aFindings)
{
  CtlArguments arguments;
  const std::string name = aArgc > 1 ? aArgv[1] : "--help";
  if (name == "--help" || name == "help") {
    arguments.isHelp_ = true;
    return arguments;
  }
  const auto commands = CtlCommands();
  const auto command =
    std::ranges::find_if(commands, [&](const CtlCommand& aCommand) {
      return name == aCommand.name_;
    });
  if (command == commands.end()) {
    aFindings.Add("command line", "subcommand", name, "unknown; see --help");
    return std::nullopt;
  }
  arguments.command_ = &*command;
  const auto environment = [&](const char* aName) {
    const auto found = aEnvironment.find(aName);
    return found == aEnvironment.end() ? std::string() : found->second;
  };
  arguments.admin_ = environment("CACTUSPITCH_ADMIN");
  arguments.token_ = environment("CACTUSPITCH_AUTH_TOKEN");
  detail::ParseOptions(aArgc - 1, aArgv + 1, arguments, aFindings);
  if (arguments.isHelp_) {
    return arguments;
  }
  detail::CheckOptions(arguments, aFindings);
  return aFindings.IsEmpty() ? std::optional(std::move(arguments))
                             : std::nullopt;
}

std::string CtlHelp()
{
  std::string text =
    "Usage: cactuspitch-ctl SUBCOMMAND [flags]\n"
    "Command line of the administration API.\n\n"
    "Flags of all subcommands:\n"
    "  --admin <IP:port>     Admin process, or CACTUSPITCH_ADMIN.\n"
    "  --auth-token <text>   Bearer token, or CACTUSPITCH_AUTH_TOKEN.\n"
    "  --json                Prints the response as JSON.\n"
    "  --help\n\nSubcommands:\n";
  for (const auto& command : CtlCommands()) {
    AppendTo(text, "  ", command.name_, "\n      ", command.help_, "\n");
    for (const auto& entry : command.options_) {
      AppendTo(text,
               "      --",
               entry.name_,
               " <text>  ",
               entry.help_,
               entry.required_ ? " Required." : "",
               entry.repeated_ ? " May be repeated." : "",
               "\n");
    }
  }
  return text +
         "\nExit status: 0 success, 1 the API failed, 2 wrong command line or "
         "rejected with\nfindings, 3 no admin process responded, 4 conflict "
         "with another change,\n5 outcome unknown (repeat with the same "
         "--change-id), 6 not in force before the\ntimeout, 7 burn rate "
         "alert.\n";
}

}
