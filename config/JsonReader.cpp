#include "JsonReader.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <vector>

#include <absl/strings/ascii.h>

namespace cactuspitch {

namespace detail {

constexpr int kMaxDepth = 16;
constexpr size_t kMaxShownBytes = 80;

bool IsNameByte(unsigned char aByte)
{
  return absl::ascii_isalnum(aByte) ||
         std::string_view("._:/-").find(static_cast<char>(aByte)) !=
           std::string_view::npos;
}

bool IsPrintable(const std::string& aText)
{
  return std::ranges::none_of(
    aText, [](unsigned char aByte) { return absl::ascii_iscntrl(aByte); });
}

}

std::string FormatValue(const nlohmann::json& aValue)
{
  // Strings stay quoted, so that "5" and 5 differ.
  auto text =
    aValue.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > detail::kMaxShownBytes) {
    text.resize(detail::kMaxShownBytes);
    text += "...";
  }
  return text;
}

std::optional<nlohmann::json> ParseJson(std::string_view aText,
                                        size_t aMaxBytes,
                                        const std::string& aObject,
                                        Findings& aFindings)
{
  using Json = nlohmann::json;
  if (aText.size() > aMaxBytes) {
    aFindings.Add(aObject,
                  "size",
                  Concat(aText.size()),
                  Concat("at most ", aMaxBytes, " B"));
    return std::nullopt;
  }
  bool isValid = true;
  std::vector<std::set<std::string>> names;
  const auto check = [&](int aDepth, Json::parse_event_t aEvent, Json& aValue) {
    if (aDepth > detail::kMaxDepth && isValid) {
      aFindings.Add(aObject, "nesting", Concat(aDepth), "at most 16 levels");
      isValid = false;
    }
    if (aEvent == Json::parse_event_t::object_start) {
      names.emplace_back();
    } else if (aEvent == Json::parse_event_t::object_end) {
      names.pop_back();
    } else if (aEvent == Json::parse_event_t::key &&
               !names.back().insert(aValue.get<std::string>()).second) {
      aFindings.Add(
        aObject, FormatValue(aValue), "", "repeated name in one object");
      isValid = false;
    }
    return true;
  };
  auto parsed = Json::parse(aText, check, false);
  if (parsed.is_discarded()) {
    aFindings.Add(aObject,
                  "text",
                  FormatValue(std::string(aText.substr(0, 80))),
                  "not valid JSON");
    return std::nullopt;
  }
  return isValid ? std::optional<Json>(std::move(parsed)) : std::nullopt;
}

JsonReader::JsonReader(const nlohmann::json& aValue,
                       std::string aObject,
                       Findings& aFindings)
  : value_(aValue)
  , object_(std::move(aObject))
  , findings_(aFindings)
{
  if (!aValue.is_object()) {
    findings_.Add(object_, "type", FormatValue(aValue), "expected an object");
  }
}

void JsonReader::AddFinding(const std::string& aName,
                            const nlohmann::json& aValue,
                            std::string aRule)
{
  findings_.Add(object_, aName, FormatValue(aValue), std::move(aRule));
}

const nlohmann::json* JsonReader::Member(const std::string& aName,
                                         bool aRequired)
{
  requestedMembers_.insert(aName);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto found = value_.find(aName);
  if (found != value_.end()) {
    return &*found;
  }
  if (aRequired) {
    findings_.Add(object_, aName, "", "required");
  }
  return nullptr;
}

std::string JsonReader::Text(const std::string& aName,
                             const TextLimits& aLimits)
{
  const auto* member = Member(aName, aLimits.required_);
  if (!member) {
    return {};
  }
  if (!member->is_string()) {
    AddFinding(aName, *member, "expected a string");
    return {};
  }
  const auto& text = member->get_ref<const std::string&>();
  if (ToStd(absl::StripAsciiWhitespace(text)).empty()) {
    AddFinding(aName, *member, "may not be empty");
  } else if (text.size() > aLimits.maxBytes_) {
    AddFinding(aName, *member, Concat("at most ", aLimits.maxBytes_, " B"));
  } else if (!detail::IsPrintable(text)) {
    AddFinding(aName, *member, "must not contain control characters");
  } else if (aLimits.isName_ &&
             !std::ranges::all_of(text, detail::IsNameByte)) {
    AddFinding(
      aName, *member, "may contain only letters, digits and . _ : / -");
  } else {
    return text;
  }
  return {};
}

std::optional<int64_t> JsonReader::Integer(const std::string& aName,
                                           int64_t aMin,
                                           int64_t aMax,
                                           bool aRequired)
{
  const auto* member = Member(aName, aRequired);
  if (!member) {
    return std::nullopt;
  }
  const bool fits =
    member->is_number_integer() &&
    !(member->is_number_unsigned() && member->get<uint64_t>() > INT64_MAX);
  if (!fits || member->get<int64_t>() < aMin || member->get<int64_t>() > aMax) {
    AddFinding(
      aName, *member, Concat("expected an integer from ", aMin, " to ", aMax));
    return std::nullopt;
  }
  return member->get<int64_t>();
}

const nlohmann::json* JsonReader::Object(const std::string& aName,
                                         bool aRequired)
{
  const auto* member = Member(aName, aRequired);
  if (member && !member->is_object()) {
    AddFinding(aName, *member, "expected an object");
    return nullptr;
  }
  return member;
}

const nlohmann::json* JsonReader::Array(const std::string& aName,
                                        size_t aMaxSize,
                                        bool aRequired)
{
  const auto* member = Member(aName, aRequired);
  if (member && !member->is_array()) {
    AddFinding(aName, *member, "expected an array");
    return nullptr;
  }
  if (member && member->size() > aMaxSize) {
    findings_.Add(object_,
                  aName,
                  Concat(member->size()),
                  Concat("at most ", aMaxSize, " entries"));
    return nullptr;
  }
  return member;
}

void JsonReader::RefuseUnknown()
{
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [name, member] : value_.items()) {
    if (!requestedMembers_.contains(name)) {
      AddFinding(
        name.substr(0, detail::kMaxShownBytes), member, "unknown field");
    }
  }
}

}
