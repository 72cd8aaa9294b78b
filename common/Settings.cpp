#include "Settings.hpp"

#include "Strings.hpp"
#include "Version.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <getopt.h>
#include <unistd.h>

namespace cactuspitch {

namespace detail {

constexpr int kExitUsage = 2;

std::string EnvironmentName(std::string_view aName)
{
  return Concat("CACTUSPITCH_",
                absl::AsciiStrToUpper(
                  absl::StrReplaceAll(ToAbsl(aName), { { "-", "_" } })));
}

bool IsBoolean(std::string_view aText)
{
  return aText == "true" || aText == "false";
}

bool IsReadableFile(const std::string& aPath)
{
  return std::ifstream(aPath).good();
}

std::vector<std::string> SplitList(std::string_view aText)
{
  return absl::StrSplit(ToAbsl(aText), ',', absl::SkipEmpty());
}

}

bool IsValidAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  int port = 0;
  const auto portText = aText.substr(colon + 1);
  if (portText.empty() ||
      !std::all_of(portText.begin(), portText.end(), absl::ascii_isdigit) ||
      !ParseNumber(portText, port) || port < 1 || port > 65535) {
    return false;
  }
  auto host = std::string(aText.substr(0, colon));
  in6_addr address{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &address) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

Settings::Environment ProcessEnvironment()
{
  Settings::Environment result;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string_view text(*entry);
    const auto equals = text.find('=');
    if (equals != std::string_view::npos) {
      result.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  return result;
}

Settings::Settings(std::vector<SettingSpec> aSpecs)
  : specs_(std::move(aSpecs))
{
}

SettingsAction Settings::Parse(int aArgc,
                               char** aArgv,
                               const Environment& aEnvironment,
                               bool aAllowPositional)
{
  for (const auto& spec : specs_) {
    values_[spec.name_] = spec.default_;
    sources_[spec.name_] = "default";
    const auto variable = detail::EnvironmentName(spec.name_);
    const auto found = aEnvironment.find(variable);
    if (found != aEnvironment.end()) {
      values_[spec.name_] = found->second;
      sources_[spec.name_] = Concat("environment ", variable);
    }
  }
  ParseFlags(aArgc, aArgv, aAllowPositional);
  if (action_ != SettingsAction::Run) {
    return action_;
  }
  for (const auto& spec : specs_) {
    Validate(spec);
  }
  return findings_.IsEmpty() ? SettingsAction::Run : SettingsAction::Invalid;
}

void Settings::ParseFlags(int aArgc, char** aArgv, bool aAllowPositional)
{
  constexpr int kHelp = 1;
  constexpr int kVersion = 2;
  constexpr int kFirstSpec = 256;
  std::vector<option> options;
  for (size_t i = 0; i < specs_.size(); ++i) {
    options.push_back({ specs_[i].name_.c_str(),
                        required_argument,
                        nullptr,
                        kFirstSpec + static_cast<int>(i) });
  }
  options.push_back({ "help", no_argument, nullptr, kHelp });
  options.push_back({ "version", no_argument, nullptr, kVersion });
  options.push_back({ nullptr, 0, nullptr, 0 });

  // With 0, glibc restarts the scan, so that tests can parse more than once.
  optind = 0;
  opterr = 0;
  int code = 0;
  while ((code = getopt_long(aArgc, aArgv, ":", options.data(), nullptr)) !=
         -1) {
    if (code == kHelp) {
      action_ = SettingsAction::ShowHelp;
      return;
    }
    if (code == kVersion) {
      action_ = SettingsAction::ShowVersion;
      return;
    }
    if (code == '?' || code == ':') {
      const std::string flag = aArgv[optind - 1];
      findings_.Add("command line",
                    flag,
                    "",
                    code == '?' ? "unknown flag" : "flag needs a value");
      continue;
    }
    const auto& spec = specs_[static_cast<size_t>(code - kFirstSpec)];
    values_[spec.name_] = optarg;
    sources_[spec.name_] = Concat("flag --", spec.name_);
  }
  for (; optind < aArgc; ++optind) {
    if (aAllowPositional) {
      positional_.emplace_back(aArgv[optind]);
    } else {
      findings_.Add(
        "command line", "argument", aArgv[optind], "unexpected argument");
    }
  }
}

void Settings::Validate(const SettingSpec& aSpec)
{
  const auto& value = values_[aSpec.name_];
  const auto& source = sources_[aSpec.name_];
  const auto reject = [&](std::string aRule) {
    findings_.Add(source, aSpec.name_, value, std::move(aRule));
  };
  if (value.empty()) {
    if (aSpec.required_) {
      reject(Concat("required; set --",
                    aSpec.name_,
                    " or ",
                    detail::EnvironmentName(aSpec.name_)));
    }
    return;
  }
  switch (aSpec.type_) {
    case SettingType::Integer: {
      int64_t number = 0;
      if (!ParseNumber(value, number) || number < aSpec.min_ ||
          number > aSpec.max_) {
        reject(
          Concat("expected an integer from ", aSpec.min_, " to ", aSpec.max_));
      }
      return;
    }
    case SettingType::Boolean:
      if (!detail::IsBoolean(value)) {
        reject("expected true or false");
      }
      return;
    case SettingType::Address:
      if (!IsValidAddress(value)) {
        reject("expected IP:port");
      }
      return;
    case SettingType::AddressList: {
      const auto entries = detail::SplitList(value);
      if (entries.empty() || !std::ranges::all_of(entries, IsValidAddress)) {
        reject("expected IP:port, comma separated");
      }
      return;
    }
    case SettingType::File:
      if (!detail::IsReadableFile(value)) {
        reject("file cannot be read");
      }
      return;
    case SettingType::Text:
    case SettingType::Count:
      return;
  }
}

std::string Settings::Text(std::string_view aName) const
{
  const auto found = values_.find(aName);
  return found == values_.end() ? std::string() : found->second;
}

int64_t Settings::Integer(std::string_view aName) const
{
  int64_t number = 0;
  return ParseNumber(Text(aName), number) ? number : 0;
}

bool Settings::Boolean(std::string_view aName) const
{
  return Text(aName) == "true";
}

std::vector<std::string> Settings::List(std::string_view aName) const
{
  return detail::SplitList(Text(aName));
}

std::string Settings::HelpText(std::string_view aProgram,
                               std::string_view aSummary) const
{
  auto text =
    Concat("Usage: ", aProgram, " [flags]\n", aSummary, "\n\nFlags:\n");
  for (const auto& spec : specs_) {
    AppendTo(text,
             "  --",
             spec.name_,
             " <",
             EnumName(spec.type_),
             ">\n      ",
             spec.help_,
             spec.required_ ? " Required." : "",
             spec.default_.empty() ? std::string()
                                   : " Default " + spec.default_ + ".",
             "\n      Environment: ",
             detail::EnvironmentName(spec.name_),
             "\n");
  }
  AppendTo(text, "  --help\n  --version\n");
  return text;
}

void Settings::ParseOrExit(int aArgc,
                           char** aArgv,
                           std::string_view aProgram,
                           std::string_view aSummary,
                           const Check& aCheck)
{
  auto action = Parse(aArgc, aArgv, ProcessEnvironment());
  const bool isRun =
    action == SettingsAction::Run || action == SettingsAction::Invalid;
  if (isRun && aCheck) {
    aCheck(*this, findings_);
  }
  if (isRun && !findings_.IsEmpty()) {
    action = SettingsAction::Invalid;
  }
  switch (action) {
    case SettingsAction::ShowHelp:
      std::cout << HelpText(aProgram, aSummary);
      std::exit(EXIT_SUCCESS);
    case SettingsAction::ShowVersion:
      std::cout << aProgram << " " << kVersion << "\n";
      std::exit(EXIT_SUCCESS);
    case SettingsAction::Invalid:
      std::cerr << aProgram << ": invalid settings\n" << findings_.ToText();
      std::exit(detail::kExitUsage);
    case SettingsAction::Run:
    case SettingsAction::Count:
      return;
  }
}

}
