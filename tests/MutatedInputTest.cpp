#include "keyspace/KeySegment.hpp"
#include "platform/Objects.hpp"
#include "platform/Requests.hpp"
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

/// Values that a field of any type may be replaced by.
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

/// All values of a document.
void Gather(Json& aJson, std::vector<Json*>& aNodes)
{
  aNodes.push_back(&aJson);
  if (aJson.is_structured()) {
    for (auto& child : aJson) {
      Gather(child, aNodes);
    }
  }
}

/// The document with some values replaced or removed.
Json Mutated(const Json& aJson)
{
  auto result = aJson;
  const int changes = *rc::gen::inRange(1, 4);
  for (int change = 0; change < changes; ++change) {
    std::vector<Json*> nodes;
    Gather(result, nodes);
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

// Guard against a document of the store with a field that is missing or of
// another type and ends the process.
RC_GTEST_PROP(MutatedInput, Configuration, ())
{
  StoreObject object;
  object.spec_ = Mutated(Json::parse(kConfig));
  Findings findings;
  const auto config = Registry().DecodeConfig(object, findings);
  RC_ASSERT(config || !findings.IsEmpty());
}

RC_GTEST_PROP(MutatedInput, Registration, ())
{
  StoreObject object;
  object.name_ = "i-1";
  object.spec_ = Mutated(Json::parse(kRegistration));
  object.status_ = Mutated(Json::parse(kRegistration)["status"]);
  Findings findings;
  const auto entry = Registry().DecodeBackend(object, findings);
  RC_ASSERT(entry || !findings.IsEmpty());
}

RC_GTEST_PROP(MutatedInput, AnswerOfTheStore, ())
{
  auto text = Mutated(Json::parse(kList)).dump();
  if (*rc::gen::arbitrary<bool>()) {
    text.resize(*rc::gen::inRange<size_t>(0, text.size()));
  }
  Objects().ReadAnswer(Answered(*rc::gen::element(200, 409, 404, 410), text));
}

RC_GTEST_PROP(MutatedInput, KeyTable, ())
{
  cactuspitch::KeyTable table;
  table.term_ = 3;
  table.services_["s"] = { KeySegment{ 0, kKeyCount - 1, "i-1", 1, 5, {} } };
  cactuspitch::KeyTable decoded;
  DecodeKeyTable(Mutated(EncodeKeyTable(table)), decoded);
}

// Guards against a field of a server's answer or a caller's request that ends
// the process.
RC_GTEST_PROP(MutatedInput, FieldsOfMessages, ())
{
  static const std::vector<std::string> kNames = {
    "Cactuspitch-Request-Id",
    "Cactuspitch-Deadline-Remaining",
    "Cactuspitch-Shard-Key",
    "Cactuspitch-Server-Load",
    "Keep-Alive",
    "Retry-After",
    "Server-Leaving",
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
  const auto answer = Requests().ReadAnswer(head);
  constexpr TimeMs kHourMs = 3600000;
  RC_ASSERT(!answer.pauseMs_ ||
            (*answer.pauseMs_ >= 0 && *answer.pauseMs_ <= kHourMs));
  const auto caller = Requests().ReadRequest(head);
  RC_ASSERT(!caller.deadlineMs_ || *caller.deadlineMs_ >= 0);
}

// Guards against a settings file that ends the process instead of being found
// wrong.
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
