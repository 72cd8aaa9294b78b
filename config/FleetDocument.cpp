#include "FleetDocument.hpp"

#include "JsonReader.hpp"
#include "RuleResolver.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <set>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxKeyBytes = 256;
constexpr size_t kMaxIdBytes = 96;
constexpr size_t kMaxSummaryBytes = 1024;

RuleScope ParseScope(const nlohmann::json& aValue,
                     const std::string& aObject,
                     Findings& aFindings)
{
  RuleScope scope;
  JsonReader reader(aValue, aObject + " scope", aFindings);
  for (const auto dimension : kAllDimensions) {
    const bool isKey = dimension == ScopeDimension::Key;
    scope.Name(dimension) =
      reader.Text(std::string(EnumName(dimension)),
                  { isKey ? kMaxKeyBytes : kMaxIdBytes, false, !isKey });
  }
  reader.RefuseUnknown();
  return scope;
}

void CheckScope(const RuleScope& aScope,
                const RuleField& aField,
                const std::string& aObject,
                Findings& aFindings)
{
  const auto mask = aScope.Mask();
  if (mask == 0) {
    aFindings.Add(aObject,
                  "scope",
                  aScope.ToText(),
                  "no dimension is named; change the default instead");
  }
  if (!aScope.key_.empty() && aScope.service_.empty()) {
    aFindings.Add(aObject, "scope", aScope.ToText(), "a key needs its service");
  }
  for (const auto dimension : kAllDimensions) {
    if ((mask & ScopeBit(dimension) & ~aField.scopes_) != 0) {
      aFindings.Add(
        aObject,
        "scope",
        aScope.ToText(),
        Concat(aField.name_, " cannot differ by ", EnumName(dimension)));
    }
  }
}

ServiceRules ParseRules(const nlohmann::json& aValue, Findings& aFindings)
{
  ServiceRules rules;
  JsonReader reader(aValue, "defaults", aFindings);
  for (const auto& field : RuleFields()) {
    const auto* member = reader.Member(std::string(field.name_), false);
    if (!member) {
      continue;
    }
    if (const auto value = field.Parse(*member, "defaults", aFindings)) {
      field.Set(rules, *value);
    }
  }
  reader.RefuseUnknown();
  return rules;
}

RuleException ParseException(const nlohmann::json& aValue,
                             size_t aIndex,
                             Findings& aFindings)
{
  JsonReader reader(aValue, Concat("exception ", aIndex), aFindings);
  RuleException exception;
  ParseExceptionBody(reader, exception, aFindings);
  exception.author_ = reader.Text("author", {});
  exception.createdMs_ =
    reader.Integer("created", 0, INT64_MAX, true).value_or(0);
  reader.RefuseUnknown();
  return exception;
}

ChangeRecord ParseRecord(const nlohmann::json& aValue,
                         size_t aIndex,
                         Findings& aFindings)
{
  JsonReader reader(aValue, Concat("change ", aIndex), aFindings);
  ChangeRecord change;
  change.id_ = reader.Text("id", { kMaxIdBytes, true, true });
  change.version_ = reader.Integer("version", 1, INT64_MAX, true).value_or(0);
  change.author_ = reader.Text("author", {});
  change.timeMs_ = reader.Integer("time", 0, INT64_MAX, true).value_or(0);
  change.reason_ = reader.Text("reason", { kMaxReasonBytes });
  change.summary_ = reader.Text("summary", { kMaxSummaryBytes });
  reader.RefuseUnknown();
  return change;
}

/// Rejects two exceptions for the same scope and field, since neither is more
/// specific.
void CheckDuplicateScopes(const FleetDocument& aDocument,
                          UnixMs aNowMs,
                          Findings& aFindings)
{
  std::map<std::string, const RuleException*> seen;
  for (const auto& exception : aDocument.exceptions_) {
    if (!exception.IsInForce(aNowMs)) {
      continue;
    }
    const auto scopeKey =
      Concat(exception.field_, " ", exception.scope_.ToText());
    const auto [found, added] = seen.emplace(scopeKey, &exception);
    if (!added) {
      aFindings.Add(Concat("exception ", exception.id_),
                    exception.field_,
                    ToText(exception.value_),
                    Concat("contradicts exception ",
                           found->second->id_,
                           " of the same scope"));
    }
  }
}

/// Checks one relation for the defaults, for the scope of each exception of its
/// two fields and for the intersection of overlapping scopes of both fields.
/// These targets suffice: two exceptions that take precedence for some target
/// also take precedence for the intersection of their scopes.
class RelationCheck
{
public:
  RelationCheck(const FleetDocument& aDocument,
                UnixMs aNowMs,
                const RuleRelation& aRelation,
                Findings& aFindings)
    : resolver_(aDocument, aNowMs)
    , relation_(aRelation)
    , left_(*FindRuleField(aRelation.left_))
    , right_(*FindRuleField(aRelation.right_))
    , findings_(aFindings)
  {
    for (const auto& exception : aDocument.exceptions_) {
      if (!exception.IsInForce(aNowMs)) {
        continue;
      }
      if (exception.field_ == relation_.left_) {
        leftExceptions_.push_back(&exception);
      } else if (exception.field_ == relation_.right_) {
        rightExceptions_.push_back(&exception);
      }
    }
  }

  void Run()
  {
    CheckTarget({}, "defaults");
    for (const auto* left : leftExceptions_) {
      CheckTarget(left->scope_, Concat("exception ", left->id_));
    }
    for (const auto* right : rightExceptions_) {
      CheckTarget(right->scope_, Concat("exception ", right->id_));
    }
    for (const auto* left : leftExceptions_) {
      for (const auto* right : rightExceptions_) {
        if (left->scope_.Overlaps(right->scope_) &&
            !left->scope_.Contains(right->scope_) &&
            !right->scope_.Contains(left->scope_)) {
          CheckTarget(left->scope_.Merge(right->scope_),
                      Concat("exception ", left->id_, " with ", right->id_));
        }
      }
    }
  }

private:
  void CheckTarget(const RuleScope& aTarget, std::string aObject)
  {
    const auto rules = resolver_.Resolve(aTarget);
    const auto left = std::get<int64_t>(left_.Get(rules));
    const auto right = std::get<int64_t>(right_.Get(rules));
    if (left < right || (left == right && !relation_.strict_)) {
      return;
    }
    findings_.Add(
      std::move(aObject),
      std::string(relation_.left_),
      Concat(left),
      Concat(relation_.strict_ ? "must be below " : "may not exceed ",
             relation_.right_,
             " (",
             right,
             ") for ",
             aTarget.ToText()));
  }

  RuleResolver resolver_;
  const RuleRelation& relation_;
  const RuleField& left_;
  const RuleField& right_;
  Findings& findings_;
  std::vector<const RuleException*> leftExceptions_;
  std::vector<const RuleException*> rightExceptions_;
};

}

const ChangeRecord* FleetDocument::FindChange(std::string_view aId) const
{
  const auto found = std::ranges::find(changes_, aId, &ChangeRecord::id_);
  return found == changes_.end() ? nullptr : &*found;
}

void ParseExceptionBody(JsonReader& aReader,
                        RuleException& aException,
                        Findings& aFindings)
{
  aException.id_ = aReader.Text("id", { detail::kMaxIdBytes, true, true });
  aException.field_ = aReader.Text("field", {});
  aException.reason_ = aReader.Text("reason", { kMaxReasonBytes });
  aException.expiresMs_ = aReader.Integer("expires", 1, INT64_MAX, false);
  const auto* scope = aReader.Object("scope", true);
  const auto* value = aReader.Member("value", true);
  const auto& object = aReader.ObjectName();
  if (scope) {
    aException.scope_ = detail::ParseScope(*scope, object, aFindings);
  }
  const auto* field = FindRuleField(aException.field_);
  if (!field) {
    if (!aException.field_.empty()) {
      aFindings.Add(object, "field", aException.field_, "unknown field");
    }
    return;
  }
  if (scope) {
    detail::CheckScope(aException.scope_, *field, object, aFindings);
  }
  if (value) {
    const auto parsed = field->Parse(*value, object, aFindings);
    aException.value_ = parsed.value_or(field->Get({}));
  }
}

std::optional<FleetDocument> ParseFleetDocument(std::string_view aText,
                                                Findings& aFindings)
{
  const size_t before = aFindings.All().size();
  const auto parsed =
    ParseJson(aText, kMaxDocumentBytes, "document", aFindings);
  if (!parsed) {
    return std::nullopt;
  }
  JsonReader reader(*parsed, "document", aFindings);
  FleetDocument document;
  document.version_ = reader.Integer("version", 1, INT64_MAX, true).value_or(0);
  document.writer_ = reader.Text("writer", { detail::kMaxIdBytes, true, true });
  document.changeNumber_ =
    reader.Integer("change", 0, INT64_MAX, true).value_or(0);
  if (const auto* defaults = reader.Object("defaults", true)) {
    document.defaults_ = detail::ParseRules(*defaults, aFindings);
  }
  if (const auto* list = reader.Array("exceptions", kMaxExceptions, true)) {
    for (size_t i = 0; i < list->size(); ++i) {
      document.exceptions_.push_back(
        detail::ParseException((*list)[i], i, aFindings));
    }
  }
  if (const auto* list = reader.Array("changes", kMaxRecordedChanges, true)) {
    for (size_t i = 0; i < list->size(); ++i) {
      document.changes_.push_back(
        detail::ParseRecord((*list)[i], i, aFindings));
    }
  }
  reader.RefuseUnknown();
  if (aFindings.All().size() > before) {
    return std::nullopt;
  }
  return document;
}

void ValidateFleetDocument(const FleetDocument& aDocument,
                           UnixMs aNowMs,
                           Findings& aFindings)
{
  if (aDocument.exceptions_.size() > kMaxExceptions) {
    aFindings.Add("document",
                  "exceptions",
                  Concat(aDocument.exceptions_.size()),
                  Concat("at most ", kMaxExceptions));
    return;
  }
  std::set<std::string> ids;
  for (const auto& exception : aDocument.exceptions_) {
    if (!ids.insert(exception.id_).second) {
      aFindings.Add(Concat("exception ", exception.id_),
                    "id",
                    exception.id_,
                    "used more than once");
    }
  }
  detail::CheckDuplicateScopes(aDocument, aNowMs, aFindings);
  for (const auto& relation : RuleRelations()) {
    detail::RelationCheck(aDocument, aNowMs, relation, aFindings).Run();
  }
}

nlohmann::json ToJson(const ServiceRules& aRules)
{
  auto result = nlohmann::json::object();
  for (const auto& field : RuleFields()) {
    result[std::string(field.name_)] = ToJson(field.Get(aRules));
  }
  return result;
}

nlohmann::json ToJson(const RuleScope& aScope)
{
  auto result = nlohmann::json::object();
  for (const auto dimension : kAllDimensions) {
    if (!aScope.Name(dimension).empty()) {
      result[std::string(EnumName(dimension))] = aScope.Name(dimension);
    }
  }
  return result;
}

nlohmann::json ToJson(const RuleException& aException)
{
  nlohmann::json result = { { "id", aException.id_ },
                            { "scope", ToJson(aException.scope_) },
                            { "field", aException.field_ },
                            { "value", ToJson(aException.value_) },
                            { "reason", aException.reason_ },
                            { "author", aException.author_ },
                            { "created", aException.createdMs_ } };
  if (aException.expiresMs_) {
    result["expires"] = *aException.expiresMs_;
  }
  return result;
}

nlohmann::json ToJson(const ChangeRecord& aChange)
{
  return { { "id", aChange.id_ },         { "version", aChange.version_ },
           { "author", aChange.author_ }, { "time", aChange.timeMs_ },
           { "reason", aChange.reason_ }, { "summary", aChange.summary_ } };
}

nlohmann::json ToJson(const FleetDocument& aDocument)
{
  auto exceptions = nlohmann::json::array();
  for (const auto& exception : aDocument.exceptions_) {
    exceptions.push_back(ToJson(exception));
  }
  auto changes = nlohmann::json::array();
  for (const auto& change : aDocument.changes_) {
    changes.push_back(ToJson(change));
  }
  return { { "version", aDocument.version_ },
           { "writer", aDocument.writer_ },
           { "change", aDocument.changeNumber_ },
           { "defaults", ToJson(aDocument.defaults_) },
           { "exceptions", std::move(exceptions) },
           { "changes", std::move(changes) } };
}

}
