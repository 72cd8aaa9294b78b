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

enum class Connecting : uint8_t
{
  Reuse, ///< an idle connection, else a new one
  Fresh, ///< a new connection even if an idle one is there
  Kept,  ///< an idle connection only: the server still runs that accepted it
  Count
};

template<>
struct EnumNames<Connecting>
{
  static constexpr std::string_view kNames[] = { "reuse", "fresh", "kept" };
};

enum class CallEnd : uint8_t
{
  Answered,
  NotSent,    ///< certainly not received by the server
  Unanswered, ///< may have been carried out, or be carried out later
  Count
};

template<>
struct EnumNames<CallEnd>
{
  static constexpr std::string_view kNames[] = { "answered",
                                                 "not-sent",
                                                 "unanswered" };
};

struct CallResult
{
  CallEnd end_ = CallEnd::NotSent;
  HttpHead head_;
  std::string body_;
  std::string_view cause_; ///< of an end without an answer
};

struct CallRequest
{
  std::string method_;
  std::string target_;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;
  TimeMs timeoutMs_ = 1000;
  Connecting connecting_ = Connecting::Reuse;
  /// The call fails when the body is larger; lists of the store are a few MB.
  size_t maxAnswerBytes_ = size_t{ 16 } << 20;
};

/// Calls with small answers, over connections that are kept for reuse.
class HttpClient
{
public:
  using Done = std::function<void(CallResult aResult)>;

  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();

  /// aDone runs once, never before Call returns.
  void Call(const Endpoint& aServer, const CallRequest& aRequest, Done aDone);
  /// Ends idle connections, for example after one of them went silent.
  void DropIdle(const Endpoint& aServer);

private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  static constexpr size_t kMaxIdle = 8;

  static uint64_t KeyOf(const Endpoint& aServer);
  void Return(ConnectionPtr aConnection);
  void Forget(const Connection* aConnection);

  EventLoop& loop_;
  std::map<uint64_t, std::vector<ConnectionPtr>> idle_;
  std::list<ConnectionPtr> busy_;
};

}
