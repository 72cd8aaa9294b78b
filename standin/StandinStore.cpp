#include "StandinStore.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

/// Each waiting watch call occupies a thread.
constexpr int kStoreThreads = 200;
constexpr size_t kMaxValueBytes = 1 << 20;
constexpr TimeMs kMaxWatchWaitMs = 60000;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kPreconditionFailed = 412;
constexpr int kTooLarge = 413;
constexpr int kPreconditionRequired = 428;
constexpr int kServiceUnavailable = 503;

HttpHeaders VersionHeader(int64_t aVersion)
{
  return { { "ETag", std::to_string(aVersion) } };
}

/// Returns false when the request has no valid precondition.
bool ParsePrecondition(const HttpExchange& aExchange,
                       ExpectedVersion& aExpected)
{
  if (aExchange.Header("If-None-Match") == "*") {
    aExpected = 0;
    return true;
  }
  int64_t version = 0;
  if (!ParseNumber(aExchange.Header("If-Match"), version)) {
    return false;
  }
  aExpected = version;
  return true;
}

std::string ObjectsToJson(const std::vector<ObjectRevision>& aObjects,
                          int64_t aSince)
{
  auto document = nlohmann::json::object();
  auto& list = document["objects"] = nlohmann::json::array();
  int64_t revision = aSince;
  for (const auto& object : aObjects) {
    revision = std::max(revision, object.revision_);
    list.push_back({ { "name", object.name_ },
                     { "version", object.value_ ? object.revision_ : 0 },
                     { "value", object.value_.value_or("") } });
  }
  document["revision"] = revision;
  return document.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Sleeps while the condition holds, at most aLimitMs, in short steps so that
/// the condition is rechecked and Stop() isn't delayed.
template<typename Condition>
void SleepInStepsWhile(TimeMs aLimitMs, Condition&& aCondition)
{
  constexpr TimeMs kStepMs = 5;
  for (TimeMs slept = 0; slept < aLimitMs && aCondition(); slept += kStepMs) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepMs));
  }
}

}

StandinStore::StandinStore(const Clock& aClock, std::string aListen)
  : objects_(aClock)
  , server_(
      { .listen_ = std::move(aListen), .threads_ = detail::kStoreThreads },
      [this](HttpExchange& aExchange) { Handle(aExchange); })
{
}

absl::Status StandinStore::Start()
{
  return server_.Start();
}

void StandinStore::Stop()
{
  stopping_ = true;
  objects_.Close();
  server_.Stop();
}

void StandinStore::Handle(HttpExchange& aExchange)
{
  const auto path = aExchange.DecodedSegments();
  const auto method = aExchange.Method();
  const auto is = [&](std::string_view aFirst, size_t aSize) {
    return path.size() == aSize && path[0] == aFirst;
  };
  if (is("_stats", 1)) {
    aExchange.Respond(detail::kOk, {}, Stats());
  } else if (is("_health", 1) || is("_ready", 1)) {
    aExchange.Respond(detail::kOk, {}, "ok\n");
  } else if (is("_fault", 1)) {
    HandleFaultSettings(aExchange);
  } else if (is("_platform", 3)) {
    Write(aExchange, path[1], path[2], std::nullopt, false);
  } else if (is("watch", 2) && method == "GET") {
    HandleCall(aExchange, StoreCall::Watch, path[1], {});
  } else if (is("objects", 2) && method == "GET") {
    HandleCall(aExchange, StoreCall::List, path[1], {});
  } else if (is("objects", 3) && method == "GET") {
    HandleCall(aExchange, StoreCall::Get, path[1], path[2]);
  } else if (is("objects", 3) && method == "PUT") {
    HandleCall(aExchange, StoreCall::Put, path[1], path[2]);
  } else if (is("objects", 3) && method == "DELETE") {
    HandleCall(aExchange, StoreCall::Delete, path[1], path[2]);
  } else {
    aExchange.Respond(detail::kNotFound, {}, "no such resource\n");
  }
}

void StandinStore::HandleCall(HttpExchange& aExchange,
                              StoreCall aCall,
                              const std::string& aKind,
                              const std::string& aName)
{
  CountCall(aCall, aKind);
  const bool isWrite = aCall == StoreCall::Put || aCall == StoreCall::Delete;
  const auto fault = faults_.NextFault(isWrite);
  if (InjectFault(aExchange, fault)) {
    return;
  }
  if (isWrite) {
    ExpectedVersion expected;
    if (!detail::ParsePrecondition(aExchange, expected)) {
      aExchange.Respond(detail::kPreconditionRequired,
                        {},
                        "If-Match or If-None-Match is missing or invalid\n");
      return;
    }
    Write(aExchange, aKind, aName, expected, fault.dropsResponse_);
  } else if (aCall == StoreCall::Get) {
    Read(aExchange, aKind, aName);
  } else if (aCall == StoreCall::List) {
    List(aExchange, aKind);
  } else {
    Watch(aExchange, aKind);
  }
}

bool StandinStore::InjectFault(HttpExchange& aExchange,
                               const StoreFault& aFault)
{
  detail::SleepInStepsWhile(aFault.delayMs_,
                            [this] { return !stopping_.load(); });
  switch (aFault.outage_) {
    case StoreOutage::Hang:
      detail::SleepInStepsWhile(detail::kMaxWatchWaitMs, [this] {
        return !stopping_.load() && faults_.Outage() == StoreOutage::Hang;
      });
      aExchange.Abort();
      return true;
    case StoreOutage::Close:
      aExchange.Abort();
      return true;
    case StoreOutage::Respond503:
      aExchange.Respond(detail::kServiceUnavailable, {}, "store is down\n");
      return true;
    case StoreOutage::None:
    case StoreOutage::Count:
      break;
  }
  if (aFault.returnsError_) {
    aExchange.Respond(detail::kServiceUnavailable, {}, "try again\n");
  }
  return aFault.returnsError_;
}

void StandinStore::Read(HttpExchange& aExchange,
                        const std::string& aKind,
                        const std::string& aName)
{
  const auto object = objects_.Get(aKind, aName, faults_.LagMs(aKind));
  if (!object) {
    aExchange.Respond(detail::kNotFound, {}, "no such object\n");
    return;
  }
  aExchange.Respond(
    detail::kOk, detail::VersionHeader(object->revision_), *object->value_);
}

void StandinStore::List(HttpExchange& aExchange, const std::string& aKind)
{
  aExchange.Respond(
    detail::kOk,
    {},
    detail::ObjectsToJson(objects_.ChangesSince(aKind, 0, faults_.LagMs(aKind)),
                          0));
}

void StandinStore::Watch(HttpExchange& aExchange, const std::string& aKind)
{
  int64_t since = 0;
  TimeMs waitMs = 0;
  if (!ParseNumber(aExchange.QueryValue("since"), since) ||
      !ParseNumber(aExchange.QueryValue("timeoutMs"), waitMs)) {
    aExchange.Respond(
      detail::kBadRequest, {}, "since or timeoutMs is missing or invalid\n");
    return;
  }
  const auto changes = objects_.WaitForChanges(
    aKind,
    since,
    faults_.LagMs(aKind),
    std::clamp<TimeMs>(waitMs, 0, detail::kMaxWatchWaitMs));
  // An outage also applies to watch calls that were waiting when it began.
  if (faults_.Outage() != StoreOutage::None) {
    InjectFault(aExchange, { faults_.Outage(), 0, false, false });
    return;
  }
  aExchange.Respond(detail::kOk, {}, detail::ObjectsToJson(changes, since));
}

void StandinStore::Write(HttpExchange& aExchange,
                         const std::string& aKind,
                         const std::string& aName,
                         const ExpectedVersion& aExpected,
                         bool aDropsResponse)
{
  const auto method = aExchange.Method();
  if (method != "PUT" && method != "DELETE") {
    aExchange.Respond(
      detail::kMethodNotAllowed, {}, "method must be PUT or DELETE\n");
    return;
  }
  auto body = aExchange.ReadBody(detail::kMaxValueBytes);
  if (!body.ok()) {
    aExchange.Respond(detail::kTooLarge, {}, "value exceeds 1 MiB\n");
    return;
  }
  std::optional<std::string> value;
  if (method == "PUT") {
    value = *std::move(body);
  }
  int64_t version = 0;
  const bool written =
    objects_.Write(aKind, aName, aExpected, std::move(value), version);
  if (aDropsResponse) {
    droppedResponses_.fetch_add(1);
    aExchange.Abort();
    return;
  }
  aExchange.Respond(written ? detail::kOk : detail::kPreconditionFailed,
                    detail::VersionHeader(version),
                    {});
}

void StandinStore::HandleFaultSettings(HttpExchange& aExchange)
{
  if (aExchange.Method() == "POST") {
    const auto body = aExchange.ReadBody(detail::kMaxValueBytes);
    const auto document =
      nlohmann::json::parse(body.ok() ? *body : "", nullptr, false);
    const auto applied =
      document.is_object()
        ? faults_.Apply(document)
        : absl::InvalidArgumentError("fault settings must be a JSON object");
    if (!applied.ok()) {
      aExchange.Respond(
        detail::kBadRequest, {}, Concat(applied.message(), "\n"));
      return;
    }
  }
  aExchange.Respond(detail::kOk, {}, faults_.ToJson().dump());
}

void StandinStore::CountCall(StoreCall aCall, const std::string& aKind)
{
  calls_[static_cast<size_t>(aCall)].fetch_add(1);
  const std::lock_guard lock(mutex_);
  ++callsByKind_[Concat(EnumName(aCall), " ", aKind)];
}

std::string StandinStore::Stats() const
{
  auto document = nlohmann::json::object();
  int64_t sum = 0;
  for (size_t call = 0; call < calls_.size(); ++call) {
    const int64_t count = calls_[call].load();
    sum += count;
    document["byCall"][std::string(EnumName(static_cast<StoreCall>(call)))] =
      count;
  }
  document["calls"] = sum;
  document["lostAnswers"] = droppedResponses_.load();
  const std::lock_guard lock(mutex_);
  document["byCallAndKind"] = callsByKind_;
  return document.dump();
}

}
