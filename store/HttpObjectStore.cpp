#include "HttpObjectStore.hpp"

#include "common/JsonText.hpp"
#include "common/Log.hpp"
#include "common/NameCheck.hpp"
#include "common/PercentEncoding.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;
/// A list response contains every object of a kind, each up to 1 MB.
constexpr size_t kMaxResponseBytes = 64 << 20;
constexpr size_t kMaxIdleConnections = 8;

std::string ObjectTarget(const std::string& aKind, const std::string& aName)
{
  return Concat("/objects/", PercentEncode(aKind), "/", PercentEncode(aName));
}

HttpHeaders Precondition(int64_t aExpectedVersion)
{
  if (aExpectedVersion == kMustNotExist) {
    return { { "If-None-Match", "*" } };
  }
  return { { "If-Match", std::to_string(aExpectedVersion) } };
}

absl::StatusOr<int64_t> VersionOf(const HttpResponse& aResponse)
{
  int64_t version = 0;
  auto tag = aResponse.head_.Header("ETag");
  if (tag.size() >= 2 && tag.front() == '"') {
    tag = tag.substr(1, tag.size() - 2);
  }
  if (!ParseNumber(tag, version)) {
    return absl::UnknownError("store: response has no version in ETag");
  }
  return version;
}

absl::Status StatusError(const HttpResponse& aResponse)
{
  const auto text = Concat("store: status ", aResponse.head_.status_);
  switch (aResponse.head_.status_) {
    case kNotFound:
      return absl::NotFoundError(text);
    case kPreconditionFailed:
      return absl::FailedPreconditionError(text);
    case kServiceUnavailable:
      return absl::UnavailableError(text);
    default:
      // After an internal error, a write may or may not have taken effect.
      return aResponse.head_.status_ >= kServerError
               ? absl::UnknownError(text)
               : absl::InvalidArgumentError(text);
  }
}

/// Empty if the object has no name, version or value that can be read.
std::optional<StoredObject> ParseObject(const std::string& aKind,
                                        std::string_view aText)
{
  const auto json = ParseJson(aText).value_or(nullptr);
  const auto is = [&](const char* aName, auto aIsType) {
    return json.is_object() && json.contains(aName) && (json[aName].*aIsType)();
  };
  if (!is("name", &nlohmann::json::is_string) ||
      !is("version", &nlohmann::json::is_number_integer) ||
      !is("value", &nlohmann::json::is_string)) {
    return std::nullopt;
  }
  return StoredObject{ aKind, json["name"], json["version"], json["value"] };
}

}

absl::StatusOr<std::vector<StoredObject>> HttpObjectStore::ParseObjects(
  const std::string& aKind,
  const std::string& aBody,
  int64_t& aRevision)
{
  const auto members =
    SplitJsonObject(aBody).value_or(std::vector<JsonMember>());
  const auto texts = SplitJsonArray(MemberText(members, "objects"));
  const auto revision =
    ParseJson(MemberText(members, "revision")).value_or(nullptr);
  if (!texts || !revision.is_number_integer()) {
    return absl::UnknownError("store: object list is malformed");
  }
  aRevision = revision;
  std::vector<StoredObject> objects;
  for (const auto text : *texts) {
    // One object that another writer has left unreadable spoils no others.
    if (auto object = detail::ParseObject(aKind, text)) {
      objects.push_back(std::move(*object));
    } else {
      ReportUnreadable(aKind, text);
    }
  }
  return objects;
}

void HttpObjectStore::ReportUnreadable(const std::string& aKind,
                                       std::string_view aText)
{
  const auto start = aText.substr(0, kMaxNameBytes);
  const std::lock_guard lock(mutex_);
  if (unreadable_.Passes(Concat(aKind, " ", start), clock_.NowMs())) {
    Log(LogLevel::Error,
        "unreadable object in the store",
        { { "kind", aKind }, { "object", start } });
  }
}

HttpObjectStore::HttpObjectStore(const Clock& aClock,
                                 HttpObjectStoreOptions aOptions)
  : clock_(aClock)
  , options_(std::move(aOptions))
{
}

absl::StatusOr<StoredObject> HttpObjectStore::Get(const std::string& aKind,
                                                  const std::string& aName)
{
  auto response = Read(detail::ObjectTarget(aKind, aName), 0);
  if (!response.ok()) {
    return response.status();
  }
  const auto version = detail::VersionOf(*response);
  if (!version.ok()) {
    return version.status();
  }
  return StoredObject{ aKind, aName, *version, std::move(response->body_) };
}

absl::StatusOr<std::vector<StoredObject>> HttpObjectStore::List(
  const std::string& aKind)
{
  const auto response = Read(Concat("/objects/", PercentEncode(aKind)), 0);
  if (!response.ok()) {
    return response.status();
  }
  int64_t revision = 0;
  return ParseObjects(aKind, response->body_, revision);
}

absl::StatusOr<int64_t> HttpObjectStore::Put(const std::string& aKind,
                                             const std::string& aName,
                                             int64_t aExpectedVersion,
                                             const std::string& aValue)
{
  const auto response = Write({ "PUT",
                                detail::ObjectTarget(aKind, aName),
                                detail::Precondition(aExpectedVersion),
                                aValue });
  if (!response.ok()) {
    return response.status();
  }
  return detail::VersionOf(*response);
}

absl::Status HttpObjectStore::Delete(const std::string& aKind,
                                     const std::string& aName,
                                     int64_t aExpectedVersion)
{
  return Write({ "DELETE",
                 detail::ObjectTarget(aKind, aName),
                 detail::Precondition(aExpectedVersion),
                 {} })
    .status();
}

absl::StatusOr<std::vector<StoredObject>> HttpObjectStore::Watch(
  const std::string& aKind,
  int64_t aSince,
  TimeMs aWaitMs,
  int64_t& aRevision)
{
  const auto response = Read(Concat("/watch/",
                                    PercentEncode(aKind),
                                    "?since=",
                                    aSince,
                                    "&timeoutMs=",
                                    aWaitMs),
                             aWaitMs);
  if (!response.ok()) {
    return response.status();
  }
  auto objects = ParseObjects(aKind, response->body_, aRevision);
  if (objects.ok() && !objects->empty() && aRevision == aSince) {
    return absl::UnknownError("store: watch does not move on");
  }
  return objects;
}

absl::StatusOr<HttpResponse> HttpObjectStore::Read(const std::string& aTarget,
                                                   TimeMs aExtraTimeoutMs)
{
  bool sent = false;
  auto response = Call({ "GET", aTarget, {}, {} }, aExtraTimeoutMs, sent);
  if (response.ok()) {
    return response->head_.status_ == detail::kOk
             ? std::move(response)
             : detail::StatusError(*response);
  }
  return absl::IsDeadlineExceeded(response.status())
           ? response.status()
           : absl::UnavailableError(response.status().message());
}

absl::StatusOr<HttpResponse> HttpObjectStore::Write(const HttpRequest& aRequest)
{
  bool sent = false;
  auto response = Call(aRequest, 0, sent);
  if (!response.ok()) {
    const auto text = std::string(response.status().message());
    return sent ? absl::UnknownError(text) : absl::UnavailableError(text);
  }
  const int status = response->head_.status_;
  const bool done = status == detail::kOk || status == detail::kCreated ||
                    status == detail::kNoContent;
  return done ? std::move(response) : detail::StatusError(*response);
}

absl::StatusOr<HttpResponse> HttpObjectStore::Call(const HttpRequest& aRequest,
                                                   TimeMs aExtraTimeoutMs,
                                                   bool& aSent)
{
  const TimeMs deadline =
    clock_.NowMs() + options_.callTimeoutMs_ + aExtraTimeoutMs;
  auto connection = TakeConnection();
  const auto connected = EnsureConnected(*connection, deadline);
  if (!connected.ok()) {
    return connected;
  }
  auto response =
    connection->Exchange(aRequest, deadline, detail::kMaxResponseBytes);
  aSent = connection->Stage() >= ExchangeStage::AwaitingHead;
  if (response.ok()) {
    ReturnConnection(std::move(connection));
  } else {
    // Idle connections may be broken for the same reason.
    const std::lock_guard lock(mutex_);
    idle_.clear();
  }
  return response;
}

absl::Status HttpObjectStore::EnsureConnected(HttpConnection& aConnection,
                                              TimeMs aDeadlineMs) const
{
  if (aConnection.IsReusable()) {
    return absl::OkStatus();
  }
  return aConnection.Connect(
    std::min(aDeadlineMs, clock_.NowMs() + options_.connectTimeoutMs_));
}

HttpObjectStore::Connection HttpObjectStore::TakeConnection()
{
  {
    const std::lock_guard lock(mutex_);
    while (!idle_.empty()) {
      auto connection = std::move(idle_.back());
      idle_.pop_back();
      if (connection->IsReusable()) {
        return connection;
      }
    }
  }
  return std::make_unique<HttpConnection>(clock_, options_.address_);
}

void HttpObjectStore::ReturnConnection(Connection aConnection)
{
  if (!aConnection->IsReusable()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (idle_.size() < detail::kMaxIdleConnections) {
    idle_.push_back(std::move(aConnection));
  }
}

}
