#pragma once

#include "common/Findings.hpp"
#include "keyspace/KeyOwnership.hpp"
#include "net/HttpClient.hpp"
#include "net/HttpParser.hpp"
#include "routing/RoutingConfig.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// What a caller says about its request.
struct RequestMetadata
{
  std::string requestId_;
  std::optional<TimeMs> remainingMs_; ///< time that the caller will wait
  std::optional<uint32_t> key_;
};

/// Load that a backend server reports with an answer.
struct ReportedLoad
{
  int running_ = 0;
  int waiting_ = 0;
  int slots_ = 1;
};

/// What a backend server says about its answer.
struct ResponseMetadata
{
  std::string requestId_;
  std::string backendId_;
  bool sealed_ = false; ///< the answer is the server's own work
  bool notRun_ = false; ///< the request certainly was not run
  std::optional<ReportedLoad> load_;
  std::optional<TimeMs> idleTimeoutMs_; ///< of the connection
  bool leaving_ = false;                ///< the server is about to leave
  /// A server that refuses wants no requests for so long.
  std::optional<TimeMs> retryAfterMs_;
  bool malformedRetryAfter_ =
    false; ///< its pause cannot be read and is ignored
};

using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// Requests between callers, the gateway and backend servers.
class RequestProtocol
{
public:
  virtual ~RequestProtocol() = default;
  virtual RequestMetadata ParseRequest(const HttpHead& aHead) const = 0;
  /// Fields of the caller's request that the gateway replaces.
  virtual bool IsReplacedRequestField(std::string_view aName) const = 0;
  virtual void AddRequestFields(std::string& aHead,
                                TimeMs aRemainingMs,
                                std::string_view aBackendId) const = 0;
  virtual ResponseMetadata ParseResponse(const HttpHead& aHead) const = 0;
  /// Fields of a server's answer that are meant for the gateway only.
  virtual bool IsInternalResponseField(std::string_view aName) const = 0;
  /// Fields of an answer that the gateway gives itself.
  virtual void AddGatewayResponseFields(std::string& aHead,
                                        std::string_view aRequestId) const = 0;
};

/// What became of an order, and what the server says besides.
struct CommandResponse
{
  OrderResult result_ = OrderResult::Unanswered;
  std::string handover_; ///< token of a release that was carried out
  bool leaving_ = false; ///< the server is about to leave
};

/// Orders about keys, from the leader to backend servers.
class CommandProtocol
{
public:
  virtual ~CommandProtocol() = default;
  virtual CallRequest MakeCommand(const KeyOrder& aCommand) const = 0;
  virtual CommandResponse ParseResponse(const CallResult& aResult) const = 0;
};

/// Object of the platform's store.
struct StoreObject
{
  std::string name_;
  int64_t revision_ = 0;
  nlohmann::json spec_;
  nlohmann::json status_;
};

struct ObjectEvent
{
  bool removed_ = false;
  StoreObject object_;
};

enum class StoreStatus : uint8_t
{
  Ok,
  NotFound,         ///< no such object
  Conflict,         ///< exists already, or has another revision
  HistoryCompacted, ///< a watch must start again from a list
  NotApplied,       ///< certainly not carried out
  Unknown,          ///< may have been carried out, or be carried out later
  Count
};

template<>
struct EnumNames<StoreStatus>
{
  static constexpr std::string_view kNames[] = { "ok",       "missing",
                                                 "conflict", "history-gone",
                                                 "not-done", "unknown" };
};

struct ObjectList
{
  std::vector<StoreObject> items_;
  std::vector<ObjectEvent> events_; ///< of a watch
  int64_t revision_ = 0;            ///< of the store
  bool hasMore_ = false;
};

struct StoreResponse
{
  StoreStatus status_ = StoreStatus::Unknown;
  int httpStatus_ = 0;
  ObjectList list_;    ///< of List and Watch
  StoreObject object_; ///< of the others, where the store gives one
};

/// How new the answer to a read must be.
enum class ReadMode : uint8_t
{
  Latest,
  AllowStale, ///< cheaper; may be some seconds old
  Count
};

template<>
struct EnumNames<ReadMode>
{
  static constexpr std::string_view kNames[] = { "latest", "may-be-old" };
};

/// Calls to the platform's object store.
class ObjectProtocol
{
public:
  virtual ~ObjectProtocol() = default;
  virtual CallRequest List(const std::string& aKind,
                           const std::string& aAfter,
                           ReadMode aMode) const = 0;
  virtual CallRequest Watch(const std::string& aKind,
                            int64_t aRevision,
                            TimeMs aWaitMs) const = 0;
  virtual CallRequest Get(const std::string& aKind,
                          const std::string& aName) const = 0;
  virtual CallRequest Create(const std::string& aKind,
                             const std::string& aName,
                             const nlohmann::json& aSpec) const = 0;
  virtual CallRequest Replace(const std::string& aKind,
                              const std::string& aName,
                              const nlohmann::json& aSpec,
                              int64_t aRevision) const = 0;
  virtual StoreResponse ParseResponse(const CallResult& aResult) const = 0;
};

/// Objects that others write to the store.
class RegistryFormat
{
public:
  virtual ~RegistryFormat() = default;
  virtual std::string ConfigKind() const = 0;
  virtual std::string ConfigName() const = 0;
  virtual std::string BackendKind() const = 0;
  /// Nothing when the object cannot be used. Findings beside a configuration
  /// name words that are unknown here; their routes are served all the same.
  virtual std::optional<RoutingConfig> DecodeConfig(
    const StoreObject& aObject,
    Findings& aFindings) const = 0;
  virtual std::optional<BackendEntry> DecodeBackend(
    const StoreObject& aObject,
    Findings& aFindings) const = 0;
};

/// All that the gateway speaks with the outside.
struct PlatformInterface
{
  const RequestProtocol& requests_;
  const CommandProtocol& commands_;
  const ObjectProtocol& objects_;
  const RegistryFormat& registry_;
};

}
