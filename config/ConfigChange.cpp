#include "ConfigChange.hpp"

#include "JsonReader.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <set>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxSummaryBytes = 512;
constexpr size_t kMaxChangeIdBytes = 96;

void ParseDefaults(const nlohmann::json& aValue,
                   ConfigChange& aChange,
                   Findings& aFindings)
{
  for (const auto& [name, member] : aValue.items()) {
    const auto* field = FindRuleField(name);
    if (!field) {
      aFindings.Add("defaults",
                    name.substr(0, kMaxChangeIdBytes),
                    FormatValue(member),
                    "unknown field");
      continue;
    }
    if (auto value = field->Parse(member, "defaults", aFindings)) {
      aChange.defaults_.emplace_back(field, std::move(*value));
    }
  }
}

RuleException ParseAddition(const nlohmann::json& aValue,
                            size_t aIndex,
                            Findings& aFindings)
{
  JsonReader reader(aValue, Concat("add ", aIndex), aFindings);
  RuleException exception;
  ParseExceptionBody(reader, exception, aFindings);
  reader.RefuseUnknown();
  return exception;
}

void ParseRetirements(const nlohmann::json& aValue,
                      ConfigChange& aChange,
                      Findings& aFindings)
{
  for (const auto& entry : aValue) {
    if (!entry.is_string() || entry.get_ref<const std::string&>().empty()) {
      aFindings.Add("change",
                    "retire",
                    FormatValue(entry),
                    "expected the id of an exception");
      continue;
    }
    aChange.retire_.push_back(entry.get<std::string>());
  }
}

/// Shortens aText to at most aMaxBytes and appends "...". Cuts at a character
/// boundary, since JSON strings must be valid UTF-8.
void TruncateText(std::string& aText, size_t aMaxBytes)
{
  if (aText.size() <= aMaxBytes) {
    return;
  }
  constexpr unsigned char kContinuationMask = 0xC0;
  constexpr unsigned char kContinuation = 0x80;
  size_t end = aMaxBytes;
  while (end > 0 && (static_cast<unsigned char>(aText[end]) &
                     kContinuationMask) == kContinuation) {
    --end;
  }
  aText.resize(end);
  aText += "...";
}

void RemoveExceptions(FleetDocument& aDocument,
                      const ConfigChange& aChange,
                      Findings& aFindings)
{
  for (const auto& id : aChange.retire_) {
    const auto removed = std::erase_if(
      aDocument.exceptions_,
      [&](const RuleException& aException) { return aException.id_ == id; });
    if (removed == 0) {
      aFindings.Add("change",
                    "retire",
                    FormatValue(nlohmann::json(id)),
                    "no such exception");
    }
  }
}

void AddExceptions(FleetDocument& aDocument,
                   const ConfigChange& aChange,
                   UnixMs aNowMs,
                   Findings& aFindings)
{
  for (auto exception : aChange.add_) {
    if (!exception.IsInForce(aNowMs)) {
      aFindings.Add(Concat("exception ", exception.id_),
                    "expires",
                    Concat(*exception.expiresMs_),
                    Concat("must be later than now (", aNowMs, ")"));
    }
    exception.author_ = aChange.author_;
    exception.createdMs_ = aNowMs;
    aDocument.exceptions_.push_back(std::move(exception));
  }
}

}

std::string ConfigChange::Summary() const
{
  std::vector<std::string> parts;
  for (const auto& [field, value] : defaults_) {
    parts.push_back(Concat(field->name_, "=", ToText(value)));
  }
  for (const auto& id : retire_) {
    parts.push_back(Concat("-", id));
  }
  for (const auto& exception : add_) {
    parts.push_back(Concat("+",
                           exception.id_,
                           " ",
                           exception.field_,
                           "=",
                           ToText(exception.value_),
                           " (",
                           exception.scope_.ToText(),
                           ")"));
  }
  std::string text;
  for (const auto& part : parts) {
    AppendTo(text, text.empty() ? "" : "; ", part);
  }
  detail::TruncateText(text, detail::kMaxSummaryBytes);
  return text;
}

std::optional<ConfigChange> ParseConfigChange(std::string_view aText,
                                              Findings& aFindings)
{
  const size_t before = aFindings.All().size();
  const auto parsed = ParseJson(aText, kMaxChangeBytes, "change", aFindings);
  if (!parsed) {
    return std::nullopt;
  }
  JsonReader reader(*parsed, "change", aFindings);
  ConfigChange change;
  change.baseVersion_ =
    reader.Integer("baseVersion", 0, INT64_MAX, true).value_or(0);
  change.id_ = reader.Text("id", { detail::kMaxChangeIdBytes, false, true });
  change.author_ = reader.Text("author", {});
  change.reason_ = reader.Text("reason", { kMaxReasonBytes });
  if (const auto* defaults = reader.Object("defaults", false)) {
    detail::ParseDefaults(*defaults, change, aFindings);
  }
  if (const auto* list = reader.Array("add", kMaxChangeEntries, false)) {
    for (size_t i = 0; i < list->size(); ++i) {
      change.add_.push_back(detail::ParseAddition((*list)[i], i, aFindings));
    }
  }
  if (const auto* list = reader.Array("retire", kMaxChangeEntries, false)) {
    detail::ParseRetirements(*list, change, aFindings);
  }
  reader.RefuseUnknown();
  const bool isEmpty =
    change.defaults_.empty() && change.add_.empty() && change.retire_.empty();
  if (isEmpty && aFindings.All().size() == before) {
    aFindings.Add(
      "change", "defaults, add, retire", "", "the change has no effect");
  }
  if (aFindings.All().size() > before) {
    return std::nullopt;
  }
  return change;
}

std::optional<FleetDocument> ApplyChange(const FleetDocument& aDocument,
                                         const ConfigChange& aChange,
                                         UnixMs aNowMs,
                                         Findings& aFindings)
{
  const size_t before = aFindings.All().size();
  auto result = aDocument;
  std::erase_if(result.exceptions_, [&](const RuleException& aException) {
    return !aException.IsInForce(aNowMs - kExpiredRetentionMs);
  });
  for (const auto& [field, value] : aChange.defaults_) {
    field->Set(result.defaults_, value);
  }
  detail::RemoveExceptions(result, aChange, aFindings);
  detail::AddExceptions(result, aChange, aNowMs, aFindings);
  ValidateFleetDocument(result, aNowMs, aFindings);
  if (aFindings.All().size() > before) {
    return std::nullopt;
  }
  ++result.version_;
  if (result.changes_.size() >= kMaxRecordedChanges) {
    const auto excess = result.changes_.size() - kMaxRecordedChanges + 1;
    result.changes_.erase(result.changes_.begin(),
                          result.changes_.begin() +
                            static_cast<std::ptrdiff_t>(excess));
  }
  result.changes_.push_back({ aChange.id_,
                              result.version_,
                              aChange.author_,
                              aNowMs,
                              aChange.reason_,
                              aChange.Summary() });
  return result;
}

}
