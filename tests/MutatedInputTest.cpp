#include "keyspace/KeySegment.hpp"
#include "platform/ObjectCodec.hpp"
#include "platform/RequestCodec.hpp"
#include "platform/SettingsFile.hpp"

#include <cstdio>
#include <fstream>
#include <functional>
#include <limits>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace cactuspitch::platform {
namespace {

using Json = nlohmann::json;

const char* const kConfig = R"({"version":"r7","services":[
  {"name":"s1","max-connections":110,"sharded":true,"warm-s":2.0},
  {"name":"s2","max-connections":90}],
  "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
   "header-timeout-s":3,"idle-timeout-s":15},
  "virtual-hosts":[{"host":"a","paths":[
   {"name":"r1","path-prefix":"/x/","kind":"safe","timeout-s":1,
    "target-latency-s":0.3,"priority":2,"max-attempts":2,
    "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}]}]})";
const char* const kRegistration = R"({"address":"10.1.0.1:80","born":7,
  "info":{"service":"s1","zone":"z","slots":4,"version":"1"},
  "status":{"state":"ready","seq":3,"cold-remaining-s":1.5}})";
const char* const kList = R"({"items":[{"metadata":{"name":"a","revision":3},
  "spec":{"x":1},"status":null}],"has-more":false,"at":9,
  "events":[{"removed":true,"object":{"metadata":{"name":"b","revision":4},
   "spec":null,"status":{}}}]})";

/// Values that replace fields of any type.
const std::vector<Json>& Replacements()
{
  static const std::vector<Json> kValues = {
    nullptr,
    true,
    -1,
    0,
    1e308,
    -0.5,
    std::numeric_limits<int64_t>::min(),
    std::numeric_limits<uint64_t>::max(),
    "",
    "r99999999999999999999999",
    "ready",
    "10.0.0.1:99999",
    std::string(70000, 'x'),
    Json::array(),
    Json::array({ nullptr, 1, "x" }),
    Json::object(),
    { { "name", 1 } },
  };
  return kValues;
}

/// Appends aJson and all values nested in it to aNodes.
void CollectNodes(Json& aJson, std::vector<Json*>& aNodes)
{
  aNodes.push_back(&aJson);
  if (aJson.is_structured()) {
    for (auto& child : aJson) {
      CollectNodes(child, aNodes);
    }
  }
}

/// Returns a copy of the document with some values replaced or removed.
Json Mutated(const Json& aJson)
{
  auto result = aJson;
  const int changes = *rc::gen::inRange(1, 4);
  for (int change = 0; change < changes; ++change) {
    std::vector<Json*> nodes;
    CollectNodes(result, nodes);
    auto& node = *nodes[*rc::gen::inRange<size_t>(0, nodes.size())];
    if (node.is_object() && !node.empty() && *rc::gen::inRange(0, 2) == 0) {
      auto gone = node.begin();
      std::advance(gone, *rc::gen::inRange<size_t>(0, node.size()));
      node.erase(gone);
    } else {
      node = *rc::gen::elementOf(Replacements());
    }
  }
  return result;
}

CallResult Answered(int aStatus, std::string aBody)
{
  CallResult result;
  result.outcome_ = CallOutcome::Completed;
  result.head_.status_ = aStatus;
  result.body_ = std::move(aBody);
  return result;
}

// Guard against a process that crashes on a document of the store in which a
// field is missing or has another type. This applies to the next four tests.
RC_GTEST_PROP(MutatedInput, Configuration, ())
{
  StoreObject object;
  object.spec_ = Mutated(Json::parse(kConfig));
  Findings findings;
  const auto config = RegistryCodec().DecodeConfig(object, findings);
  RC_ASSERT(config || !findings.IsEmpty());
}

RC_GTEST_PROP(MutatedInput, Registration, ())
{
  StoreObject object;
  object.name_ = "i-1";
  object.spec_ = Mutated(Json::parse(kRegistration));
  object.status_ = Mutated(Json::parse(kRegistration)["status"]);
  Findings findings;
  const auto entry = RegistryCodec().DecodeBackend(object, findings);
  RC_ASSERT(entry || !findings.IsEmpty());
}

RC_GTEST_PROP(MutatedInput, StoreResponse, ())
{
  auto text = Mutated(Json::parse(kList)).dump();
  if (*rc::gen::arbitrary<bool>()) {
    text.resize(*rc::gen::inRange<size_t>(0, text.size()));
  }
  ObjectCodec().ParseResponse(
    Answered(*rc::gen::element(200, 409, 404, 410), text));
}

RC_GTEST_PROP(MutatedInput, KeyTable, ())
{
  cactuspitch::KeyTable table;
  table.term_ = 3;
  table.services_["s"] = { KeySegment{ 0, kKeyCount - 1, "i-1", 1, 5, {} } };
  cactuspitch::KeyTable decoded;
  DecodeKeyTable(Mutated(EncodeKeyTable(table)), decoded);
}

// Guards against a process that crashes on a header field of a server's
// response or a caller's request.
RC_GTEST_PROP(MutatedInput, HeaderFields, ())
{
  static const std::vector<std::string> kNames = {
    "Cactuspitch-Request-Id",
    "Cactuspitch-Deadline-Remaining",
    "Cactuspitch-Shard-Key",
    "Cactuspitch-Server-Load",
    "Keep-Alive",
    "Retry-After",
    "Server-Leaving",
    "Server-Limit",
    "Cactuspitch-Instance-Id",
    "Cactuspitch-Target-Instance",
    "Cactuspitch-Not-Executed",
  };
  static const std::vector<std::string> kValues = {
    "",
    "-",
    ".",
    "1",
    "-1",
    "99999999999999999999",
    "1,2",
    "1,2,3",
    "1,2,0",
    "timeout=",
    "timeout=99999999999999",
    "1e9",
    "nan",
    "5.",
    "3600.0001",
  };
  HttpHead head;
  head.status_ = *rc::gen::element(200, 421, 500, 503);
  const int fields = *rc::gen::inRange(0, 6);
  for (int index = 0; index < fields; ++index) {
    const bool known = *rc::gen::arbitrary<bool>();
    head.fields_.emplace_back(*rc::gen::elementOf(kNames),
                              known ? *rc::gen::elementOf(kValues)
                                    : *rc::gen::arbitrary<std::string>());
  }
  const auto response = RequestCodec().ParseResponse(head);
  constexpr TimeMs kHourMs = 3600000;
  RC_ASSERT(!response.retryAfterMs_ || (*response.retryAfterMs_ >= 0 &&
                                        *response.retryAfterMs_ <= kHourMs));
  constexpr double kMaxLimit = 1e9;
  RC_ASSERT(!response.requestLimit_ || (*response.requestLimit_ > 0 &&
                                        *response.requestLimit_ <= kMaxLimit));
  const auto caller = RequestCodec().ParseRequest(head);
  RC_ASSERT(!caller.remainingMs_ || *caller.remainingMs_ >= 0);
}

// Guards against a process that crashes on an invalid settings file instead of
// reporting it.
RC_GTEST_PROP(MutatedInput, SettingsFile, ())
{
  const auto bounds =
    Mutated(Json::parse(R"({"drain-s":2,"grace-s":6,"hold-max-s":10})"));
  const auto path =
    testing::TempDir() + "mutated-" + std::to_string(getpid()) + ".env";
  std::ofstream(path) << "CACTUSPITCH_INSTANCE=g\nCACTUSPITCH_BOUNDS="
                      << bounds.dump() << "\n"
                      << *rc::gen::arbitrary<std::string>() << "\n";
  SettingsFindings findings;
  ReadSettingsFile(path, {}, findings);
  std::remove(path.c_str());
}

}
}
