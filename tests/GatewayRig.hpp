#pragma once

#include "gateway/Gateway.hpp"
#include "platform/Objects.hpp"
#include "platform/Requests.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cactuspitch {

/// HTTP server on the loop of the test. The script of a test decides what is
/// written for each request, and whether the connection ends.
class ScriptedServer
{
public:
  struct Exchange
  {
    ScriptedServer* server_ = nullptr;
    HttpHead head_;
    std::string body_;
    std::function<void(std::string_view)> write_;
    std::function<void()> close_;
    std::function<void()> reset_;
  };
  using Script = std::function<void(Exchange&)>;

  ScriptedServer(EventLoop& aLoop, Script aScript);
  ~ScriptedServer();
  Endpoint Address() const { return address_; }
  /// Resets each new connection, as a server does that has too many.
  void SetFull(bool aFull) { full_ = aFull; }
  /// Resets all connections and refuses new ones, as a process does that ends.
  void Crash();
  /// Listens again at the same address.
  void Restart();
  int Accepted() const { return accepted_; }
  int Requests() const { return requests_; }
  /// Connections that their client has closed.
  int Departures() const { return departures_; }

private:
  class Connection;

  EventLoop& loop_;
  Script script_;
  TcpListener listener_;
  Endpoint address_;
  int requests_ = 0;
  int departures_ = 0;
  int accepted_ = 0;
  bool full_ = false;
  std::vector<std::shared_ptr<Connection>> connections_;
};

/// An answer in HTTP with this body.
std::string TextAnswer(int aStatus, std::string_view aBody);

void RunLoopFor(EventLoop& aLoop, TimeMs aMs);
/// Runs the loop until aDone holds; false after 5 s.
bool RunLoopUntil(EventLoop& aLoop, const std::function<bool()>& aDone);

/// A gateway with a small store, one service of scripted backend servers that
/// needs no keys (host `plain`), and one whose keys are granted (host `keyed`).
class GatewayRig
{
public:
  /// aScript answers the requests of the service without keys. The service with
  /// keys has aKeyedServers registrations at one address.
  explicit GatewayRig(const ScriptedServer::Script& aScript,
                      int aServers = 2,
                      int aKeyedServers = 1,
                      int aMaxConnections = 50);
  ~GatewayRig();

  /// Runs the loop until aDone holds; false after 5 s.
  bool RunUntil(const std::function<bool()>& aDone);
  void RunFor(TimeMs aMs);
  /// Sends bytes on a new connection and returns what came back once aDone
  /// holds for it, or until the connection ends.
  std::string Ask(const std::string& aBytes, int aAnswers = 1);
  /// The same at another gateway.
  std::string AskAt(const Endpoint& aGateway,
                    const std::string& aBytes,
                    int aAnswers = 1);
  /// Starts one more gateway on the same store and returns its address.
  Endpoint AddGateway(const std::string& aInstance);
  ScriptedServer& Backend(size_t aIndex) { return *backends_[aIndex]; }
  int BackendRequests() const;
  EventLoop& Loop() { return loop_; }
  Endpoint GatewayAddress() const { return settings_.listen_; }
  /// Takes the store away, or gives it back.
  void SetStoreDown(bool aDown) { storeDown_ = aDown; }
  std::vector<std::string>& Grants() { return grants_; }
  /// Answers the requests of the service with keys, orders excepted.
  void SetKeyedScript(ScriptedServer::Script aScript)
  {
    keyedScript_ = std::move(aScript);
  }
  /// Writes the registration of a backend server without keys again, as another
  /// life of it, and tells those that watch.
  void Reregister(size_t aIndex, int64_t aBornMs);
  /// Reloads with these settings, or finds them wrong.
  void Reload(std::optional<GatewaySettings> aSettings);
  const GatewaySettings& Settings() const { return settings_; }

  static std::string Request(const std::string& aMethod,
                             const std::string& aHost,
                             const std::string& aId,
                             const std::string& aExtra = {},
                             const std::string& aBody = {});
  /// Answer of a backend server to the request of that head.
  static std::string Answer(const HttpHead& aHead, const std::string& aBody);

private:
  /// Addresses of a new gateway.
  GatewaySettings MakeSettings(const std::string& aInstance) const;
  std::unique_ptr<Gateway> StartGateway(const GatewaySettings& aSettings);
  void ServeStore(ScriptedServer::Exchange& aExchange);
  nlohmann::json Registration(const std::string& aService,
                              const ScriptedServer& aServer,
                              int64_t aBornMs) const;
  void Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec);
  nlohmann::json Item(const std::string& aKind, const std::string& aName);

  EventLoop loop_;
  EventLog log_;
  platform::Requests requests_;
  platform::Orders orders_;
  platform::Objects objects_;
  platform::Registry registry_;
  std::map<std::string,
           std::map<std::string, std::pair<int64_t, nlohmann::json>>>
    store_;
  int64_t revision_ = 10;
  bool storeDown_ = false;
  std::vector<std::string> grants_;
  ScriptedServer::Script keyedScript_;
  /// Watches of registrations that wait for a change.
  std::vector<ScriptedServer::Exchange> watches_;
  std::unique_ptr<ScriptedServer> storeServer_;
  std::vector<std::unique_ptr<ScriptedServer>> backends_;
  GatewaySettings settings_;
  std::optional<GatewaySettings> freshSettings_;
  std::unique_ptr<Gateway> gateway_;
  std::vector<std::unique_ptr<Gateway>> others_;
};

}
