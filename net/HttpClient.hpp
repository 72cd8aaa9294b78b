#pragma once

#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactuspitch {

enum class ConnectionPolicy : uint8_t
{
  ReuseOrNew, ///< an idle connection, else a new one
  NewOnly,    ///< a new connection even if there is an idle one
  ReuseOnly,  ///< an idle connection only, so that the call reaches the same
              ///< process as before
  /// An idle connection, also one whose responses name no call, else a new one.
  ReuseAnyOrNew,
  Count
};

template<>
struct EnumNames<ConnectionPolicy>
{
  static constexpr std::string_view kNames[] = { "reuse",
                                                 "fresh",
                                                 "kept",
                                                 "reuse-any" };
};

enum class CallOutcome : uint8_t
{
  Completed,
  NotSent,    ///< the server received no part of the request
  NoResponse, ///< may have been executed, or may be executed later
  Count
};

template<>
struct EnumNames<CallOutcome>
{
  static constexpr std::string_view kNames[] = { "answered",
                                                 "not-sent",
                                                 "unanswered" };
};

struct CallResult
{
  CallOutcome outcome_ = CallOutcome::NotSent;
  HttpHead head_;
  std::string body_;
  std::string_view cause_;  ///< reason when there is no response
  bool isTooLarge_ = false; ///< the response exceeded maxResponseBytes_
  /// The connection that was used, or that could not be opened; 0 if there was
  /// none to reuse.
  uint64_t connection_ = 0;
};

/// State of a connection that a call was made on.
enum class ConnectionState : uint8_t
{
  Idle,
  Busy,
  Ended,
  Count
};

template<>
struct EnumNames<ConnectionState>
{
  static constexpr std::string_view kNames[] = { "idle", "busy", "ended" };
};

struct CallRequest
{
  std::string method_;
  std::string target_;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;
  TimeMs timeoutMs_ = 1000;
  ConnectionPolicy connectionPolicy_ = ConnectionPolicy::ReuseOrNew;
  /// With ReuseOnly: the only connection to be used; 0: any.
  uint64_t connection_ = 0;
  /// Connections are reused by calls of the same kind only, so that long calls
  /// do not occupy those of others.
  std::string_view connectionKind_;
  /// Called when a new connection has been established. If it returns false,
  /// the request is not sent. May be empty.
  std::function<bool()> maySendOnNew_;
  /// Name of the field with the id of the call, which the server repeats in its
  /// response; empty if it has no such field. A late copy of a response has the
  /// id of an earlier call: a response with another id is not accepted. After a
  /// response without an id, only ReuseOnly calls use the connection again.
  std::string_view idField_;
  /// The call fails when the response body is larger. Lists of the store are a
  /// few MB.
  size_t maxResponseBytes_ = size_t{ 16 } << 20;
};

/// HTTP client for calls with small responses. Keeps idle connections for
/// reuse.
class HttpClient
{
public:
  using Callback = std::function<void(CallResult aResult)>;

  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();

  /// aCallback runs exactly once, never before Call returns.
  void Call(const Endpoint& aServer,
            const CallRequest& aRequest,
            Callback aCallback);
  /// Closes idle connections, for example after one of them has stopped
  /// responding.
  void CloseIdle(const Endpoint& aServer);
  /// When a connection to the server last ended, could not be opened, or was
  /// given up after a missing response; 0 if never. The server may have
  /// restarted since.
  TimeMs LastEndedMs(const Endpoint& aServer) const;
  ConnectionState StateOf(const Endpoint& aServer, uint64_t aConnection) const;

private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  static constexpr size_t kMaxIdleConnections = 8;

  static uint64_t KeyOf(const Endpoint& aServer);
  /// Returns nullptr if there is none.
  ConnectionPtr TakeIdle(const Endpoint& aServer, const CallRequest& aRequest);
  void Release(ConnectionPtr aConnection);
  void Remove(const Connection* aConnection);
  void RecordEnd(const Endpoint& aServer);

  EventLoop& loop_;
  uint64_t lastCallId_ = 0;
  uint64_t lastConnection_ = 0;
  std::map<uint64_t, std::vector<ConnectionPtr>> idle_;
  std::list<ConnectionPtr> busy_;
  std::map<uint64_t, TimeMs> endedMs_;
};

}
