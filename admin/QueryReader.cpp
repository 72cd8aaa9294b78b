#include "QueryReader.hpp"

#include "common/JsonText.hpp"
#include "common/Strings.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxQueryBytes = 2048;
constexpr size_t kMaxValueBytes = 256;

/// Decodes percent escapes and plus signs. Returns nothing for a malformed
/// escape, a control character or invalid UTF-8, which rules cannot hold.
std::optional<std::string> DecodePercent(std::string_view aText)
{
  std::string result;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '+') {
      result += ' ';
      continue;
    }
    if (aText[i] != '%') {
      result += aText[i];
      continue;
    }
    constexpr int kHex = 16;
    uint8_t byte = 0;
    const auto digits = aText.substr(i + 1, 2);
    const auto* end = digits.data() + digits.size();
    const auto [last, error] = std::from_chars(digits.data(), end, byte, kHex);
    if (digits.size() != 2 || error != std::errc() || last != end) {
      return std::nullopt;
    }
    result += static_cast<char>(byte);
    i += 2;
  }
  for (const unsigned char byte : result) {
    if (absl::ascii_iscntrl(byte)) {
      return std::nullopt;
    }
  }
  return IsUtf8(result) ? std::optional(result) : std::nullopt;
}

}

QueryReader::QueryReader(std::string_view aQuery, Findings& aFindings)
  : findings_(aFindings)
{
  if (aQuery.size() > detail::kMaxQueryBytes) {
    findings_.Add("query",
                  "size",
                  Concat(aQuery.size()),
                  Concat("at most ", detail::kMaxQueryBytes, " B"));
    return;
  }
  for (const auto part :
       absl::StrSplit(ToAbsl(aQuery), '&', absl::SkipEmpty())) {
    AddParameter(ToStd(part));
  }
}

void QueryReader::AddParameter(std::string_view aPart)
{
  const auto equals = aPart.find('=');
  const auto name = detail::DecodePercent(aPart.substr(0, equals));
  const auto value = detail::DecodePercent(equals == std::string_view::npos
                                             ? std::string_view()
                                             : aPart.substr(equals + 1));
  if (!name || name->empty() || !value) {
    findings_.Add("query",
                  name && !name->empty() ? *name : "name",
                  std::string(aPart.substr(0, detail::kMaxValueBytes)),
                  "expected name=value in percent-encoded UTF-8 without "
                  "control characters");
    return;
  }
  if (value->size() > detail::kMaxValueBytes) {
    findings_.Add("query",
                  *name,
                  Concat(value->size()),
                  Concat("at most ", detail::kMaxValueBytes, " B"));
    requestedParameters_.insert(*name);
    return;
  }
  if (!values_.emplace(*name, *value).second) {
    findings_.Add("query", *name, *value, "given more than once");
  }
}

std::string QueryReader::Text(const std::string& aName, bool aRequired)
{
  requestedParameters_.insert(aName);
  const auto found = values_.find(aName);
  if (found == values_.end()) {
    if (aRequired) {
      findings_.Add("query", aName, "", "required");
    }
    return {};
  }
  if (found->second.empty()) {
    findings_.Add("query", aName, "", "may not be empty");
  }
  return found->second;
}

std::optional<int64_t> QueryReader::Integer(const std::string& aName,
                                            int64_t aMin,
                                            int64_t aMax)
{
  requestedParameters_.insert(aName);
  const auto found = values_.find(aName);
  if (found == values_.end()) {
    return std::nullopt;
  }
  int64_t number = 0;
  if (!ParseNumber(found->second, number) || number < aMin || number > aMax) {
    findings_.Add("query",
                  aName,
                  found->second,
                  Concat("expected an integer from ", aMin, " to ", aMax));
    return std::nullopt;
  }
  return number;
}

RuleScope QueryReader::Target()
{
  RuleScope target;
  for (const auto dimension : kAllDimensions) {
    target.Name(dimension) = Text(std::string(EnumName(dimension)), false);
  }
  if (!target.key_.empty() && target.service_.empty()) {
    findings_.Add("query", "key", target.key_, "a key needs its service");
  }
  return target;
}

void QueryReader::RefuseUnknown()
{
  for (const auto& [name, value] : values_) {
    if (!requestedParameters_.contains(name)) {
      findings_.Add("query", name, value, "unknown parameter");
    }
  }
}

}
