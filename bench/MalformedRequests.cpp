#include "MalformedRequests.hpp"

#include "common/Strings.hpp"
#include "config/ConfigChange.hpp"

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

using Json = nlohmann::json;

Json ValidChange()
{
  return { { "baseVersion", 1 },
           { "author", "a" },
           { "reason", "r" },
           { "defaults", { { "maxAttempts", 4 } } } };
}

Json ValidException()
{
  return { { "id", "new" },
           { "scope", { { "service", "svc" } } },
           { "field", "maxAttempts" },
           { "value", 4 },
           { "reason", "r" } };
}

Json WithException(const Json& aException)
{
  auto change = ValidChange();
  change["add"] = Json::array({ aException });
  return change;
}

/// Collects malformed requests of all kinds.
class Builder
{
public:
  std::vector<MalformedRequest> Build()
  {
    AddFieldValues();
    AddChangeMembers();
    AddExceptionMembers();
    AddScopes();
    AddContradictions();
    AddTexts();
    AddQueries();
    AddRoutes();
    AddReleases();
    return std::move(requests_);
  }

private:
  void AddBody(const std::string& aName,
               const std::string& aText,
               const std::string& aPlace)
  {
    requests_.push_back({ aName, "POST", "/v1/changes", aText, aPlace });
  }

  void AddChange(const std::string& aName,
                 const Json& aChange,
                 const std::string& aPlace)
  {
    AddBody(aName, aChange.dump(), aPlace);
  }

  static std::vector<std::pair<std::string, Json>> BadValues(
    const RuleField& aField)
  {
    std::vector<std::pair<std::string, Json>> values = {
      { "null", nullptr },
      { "array", Json::array() },
      { "object", Json::object() },
      { "boolean", true },
    };
    if (aField.TypeName() == "name") {
      values.emplace_back("unknown name", "no-such-name");
      values.emplace_back("number", 3);
      return values;
    }
    values.emplace_back("text", "5");
    values.emplace_back("below", aField.min_ - 1);
    values.emplace_back("above", aField.max_ + 1);
    values.emplace_back("huge", UINT64_MAX);
    if (aField.TypeName() == "integer") {
      values.emplace_back("fraction", aField.min_ + 0.5);
    }
    return values;
  }

  void AddFieldValues()
  {
    for (const auto& field : RuleFields()) {
      const std::string name(field.name_);
      for (const auto& [kind, value] : BadValues(field)) {
        auto change = ValidChange();
        change["defaults"] = { { name, value } };
        AddChange(Concat("default ", name, " ", kind), change, name);
        auto exception = ValidException();
        exception["field"] = name;
        exception["value"] = value;
        AddChange(Concat("exception ", name, " ", kind),
                  WithException(exception),
                  name);
      }
    }
  }

  void AddChangeMembers()
  {
    for (const char* name : { "baseVersion", "author", "reason" }) {
      auto change = ValidChange();
      change.erase(name);
      AddChange(Concat("change without ", name), change, name);
    }
    const std::vector<std::pair<std::string, Json>> wrong = {
      { "baseVersion", "1" },
      { "baseVersion", -1 },
      { "baseVersion", 1.5 },
      { "author", "" },
      { "author", "  " },
      { "author", 5 },
      { "author", std::string(65, 'a') },
      { "author", "a\nb" },
      { "reason", "" },
      { "reason", std::string(257, 'r') },
      { "reason", Json::array() },
      { "id", "has space" },
      { "id", std::string(97, 'i') },
      { "defaults", Json::array() },
      { "defaults", 5 },
      { "add", Json::object() },
      { "add", "text" },
      { "add", Json::array({ 5 }) },
      { "add", Json(std::vector<Json>(101, ValidException())) },
      { "retire", "known" },
      { "retire", Json::array({ 5 }) },
      { "retire", Json::array({ "" }) },
      { "retire", Json::array({ "absent" }) },
      { "retire", Json::array({ "known", "known" }) },
      { "retire", Json(std::vector<Json>(101, "known")) },
      { "unknownMember", 1 },
    };
    for (const auto& [name, value] : wrong) {
      auto change = ValidChange();
      change[name] = value;
      AddChange(Concat("change ", name, " ", requests_.size()),
                change,
                name == "add" && value.is_array() && value.size() == 1 ? "add 0"
                                                                       : name);
    }
    auto empty = ValidChange();
    empty.erase("defaults");
    AddChange("change of nothing", empty, "defaults");
    auto unknown = ValidChange();
    unknown["defaults"] = { { "noSuchField", 1 } };
    AddChange("unknown default", unknown, "noSuchField");
  }

  void AddExceptionMembers()
  {
    for (const char* name : { "id", "scope", "field", "value", "reason" }) {
      auto exception = ValidException();
      exception.erase(name);
      AddChange(
        Concat("exception without ", name), WithException(exception), name);
    }
    const std::vector<std::pair<std::string, Json>> wrong = {
      { "id", "" },        { "id", 5 },           { "id", "a b" },
      { "reason", "" },    { "reason", " " },     { "reason", nullptr },
      { "field", "none" }, { "field", 1 },        { "field", "" },
      { "expires", -5 },   { "expires", "soon" }, { "expires", 1 },
      { "expires", 1.5 },  { "author", "x" },     { "created", 5 },
      { "other", 5 },
    };
    for (const auto& [name, value] : wrong) {
      auto exception = ValidException();
      exception[name] = value;
      AddChange(Concat("exception ", name, " ", requests_.size()),
                WithException(exception),
                name);
    }
  }

  void AddScopes()
  {
    const std::vector<Json> scopes = {
      Json::object(),
      Json::array(),
      "svc",
      { { "service", "" } },
      { { "service", 5 } },
      { { "service", "a b" } },
      { { "key", "k" } },
      { { "service", "svc" }, { "key", "a\nb" } },
      { { "service", "svc" }, { "key", std::string(257, 'k') } },
      { { "region", "r" } },
    };
    for (const auto& scope : scopes) {
      auto exception = ValidException();
      exception["scope"] = scope;
      AddChange(Concat("scope ", requests_.size()),
                WithException(exception),
                scope.is_object() && !scope.empty() ? "add 0" : "scope");
    }
    for (const auto& field : RuleFields()) {
      for (const auto dimension : kAllDimensions) {
        if ((field.scopes_ & ScopeBit(dimension)) != 0) {
          continue;
        }
        auto exception = ValidException();
        exception["field"] = field.name_;
        exception["value"] = ToJson(field.Get({}));
        exception["scope"] = { { "service", "svc" },
                               { EnumName(dimension), "x" } };
        AddChange(Concat(field.name_, " by ", EnumName(dimension)),
                  WithException(exception),
                  "scope");
      }
    }
  }

  void AddContradictions()
  {
    const std::vector<std::pair<std::string, Json>> wrong = {
      { "attemptTimeoutMs", 30001 }, { "defaultDeadlineMs", 30001 },
      { "latencyMs", 30001 },        { "maxDeadlineMs", 999 },
      { "stopBelowPercent", 110 },   { "actAbovePercent", 105 },
    };
    for (const auto& [name, value] : wrong) {
      auto change = ValidChange();
      change["defaults"] = { { name, value } };
      AddChange(Concat("contradiction ", name), change, "defaults");
      auto exception = ValidException();
      exception["field"] = name;
      exception["value"] = value;
      AddChange(Concat("contradiction in exception ", name),
                WithException(exception),
                "exception new");
    }
    auto tie = ValidException();
    tie["scope"] = { { "service", "known" } };
    AddChange("tie", WithException(tie), "exception new");
    auto twice = ValidException();
    twice["id"] = "known";
    AddChange("duplicate id", WithException(twice), "exception known");
  }

  void AddTexts()
  {
    const std::string valid = ValidChange().dump();
    AddBody("empty body", "", "text");
    AddBody("cut off", valid.substr(0, valid.size() - 1), "text");
    AddBody("trailing text", valid + "x", "text");
    AddBody("two values", valid + valid, "text");
    AddBody("invalid UTF-8", "{\"author\":\"\xff\xfe\"}", "text");
    AddBody("not a number", "{\"baseVersion\":NaN}", "text");
    AddBody("comment", "/* */" + valid, "text");
    AddBody("single quotes", "{'author':'a'}", "text");
    AddBody("NUL byte", std::string("\0{}", 3), "text");
    AddBody("array", "[]", "type");
    AddBody("number", "5", "type");
    AddBody("text", "\"text\"", "type");
    AddBody("null", "null", "type");
    AddBody("deep", std::string(2000, '[') + std::string(2000, ']'), "nesting");
    AddBody("repeated member", "{\"author\":\"a\",\"author\":\"b\"}", "author");
    AddBody("repeated default",
            R"({"defaults":{"maxAttempts":1,"maxAttempts":2}})",
            "maxAttempts");
    AddBody("oversized", std::string(kMaxChangeBytes + 1, ' '), "body");
  }

  void AddQueries()
  {
    const char* const paths[] = { "defaults", "exceptions", "rules",
                                  "history",  "versions",   "wait",
                                  "owner",    "slices",     "moves",
                                  "measures", "quarantine", "slo",
                                  "slo.html" };
    for (const std::string path : paths) {
      const auto add = [&](const std::string& aQuery, const char* aPlace) {
        requests_.push_back({ Concat(path, " ?", aQuery),
                              "GET",
                              Concat("/v1/", path, "?", aQuery),
                              "",
                              aPlace });
      };
      add("unknownName=1", "unknownName");
      add("a=%zz", "a");
      add("a=%f", "a");
      add("a=%ff", "a");
      add("a=%00", "a");
      add("=5", "name");
      add("a=1&a=2", "a");
      add(Concat("a=", std::string(257, 'x')), "a");
      add(std::string(2049, 'x'), "size");
    }
    const std::pair<const char*, const char*> targets[] = {
      { "/v1/rules?key=k", "key" },
      { "/v1/exceptions?key=k", "key" },
      { "/v1/rules?service=", "service" },
      { "/v1/history?since=-1", "since" },
      { "/v1/history?since=x", "since" },
      { "/v1/wait", "version" },
      { "/v1/wait?version=0", "version" },
      { "/v1/wait?version=1&timeoutMs=25001", "timeoutMs" },
      { "/v1/owner?service=svc", "key" },
      { "/v1/owner?key=k", "service" },
      { "/v1/owner?service=absent&key=k", "service" },
      { "/v1/slices", "service" },
      { "/v1/slices?service=absent", "service" },
      { "/v1/slices?service=svc&limit=0", "limit" },
      { "/v1/slices?service=svc&limit=1001", "limit" },
      { "/v1/slices?service=svc&offset=-1", "offset" },
      { "/v1/moves?service=absent", "service" },
      { "/v1/measures?service=absent", "service" },
    };
    for (const auto& [target, place] : targets) {
      requests_.push_back({ target, "GET", target, "", place });
    }
  }

  void AddRoutes()
  {
    for (const char* path : { "/",
                              "/v1",
                              "/v1/",
                              "/v2/defaults",
                              "/v1/defaults/x",
                              "/v1/../etc",
                              "/v1/%zzdefaults",
                              "/V1/defaults" }) {
      requests_.push_back({ path, "GET", path, "", "path" });
    }
    for (const char* method : { "PUT", "DELETE", "PATCH", "POST" }) {
      requests_.push_back(
        { Concat(method, " defaults"), method, "/v1/defaults", "", "method" });
    }
    requests_.push_back({ "GET changes", "GET", "/v1/changes", "", "method" });
    requests_.push_back({ "GET body", "GET", "/v1/defaults", "x", "body" });
  }

  void AddReleases()
  {
    const auto add = [&](const std::string& aBody, const char* aPlace) {
      requests_.push_back({ Concat("release ", aBody),
                            "POST",
                            "/v1/quarantine/release",
                            aBody,
                            aPlace });
    };
    add("", "text");
    add("{}", "fingerprint");
    add(R"({"fingerprint":5,"author":"a","reason":"r"})", "fingerprint");
    add(R"({"fingerprint":"xyz","author":"a","reason":"r"})", "fingerprint");
    add(R"({"fingerprint":"0x12345678123456781","author":"a","reason":"r"})",
        "fingerprint");
    add(R"({"fingerprint":"0x1","author":"a","reason":"r"})", "fingerprint");
    add(R"({"fingerprint":"0x1","reason":"r"})", "author");
    add(R"({"fingerprint":"0x1","author":"a"})", "reason");
    add(R"({"fingerprint":"0x1","author":"a","reason":"r","x":1})", "x");
  }

  std::vector<MalformedRequest> requests_;
};

}

std::vector<MalformedRequest> MakeMalformedRequests()
{
  return detail::Builder().Build();
}

}
