#pragma once

#include "net/HttpParser.hpp"
#include "net/TcpStream.hpp"
#include "tests/DelayedTasks.hpp"
#include "tests/PlatformStore.hpp"
#include "tests/ScriptedServer.hpp"

#include <array>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

/// Stand-ins of a small deployment for the cases of the review: the platform,
/// which starts and stops gateways, servers, and clients. They behave as the
/// users' pages say unless a case adds its disruption.
namespace cactuspitch::review {

constexpr uint32_t kAllKeys = 65536;

/// What was sent, answered and run, with the time since the start in ms.
class Record
{
public:
  Record(EventLoop& aLoop, const std::string& aPath);
  void Add(std::string_view aText);
  /// Adds a line that breaks a rule.
  void AddBreach(std::string_view aText);
  int Breaches() const { return breaches_; }
  TimeMs SinceStartMs() const { return loop_.NowMs() - startMs_; }

private:
  EventLoop& loop_;
  std::ofstream file_;
  TimeMs startMs_;
  int breaches_ = 0;
};

/// One gateway process, started with the command and the settings template of
/// the deploy file.
class Gateway
{
public:
  Gateway(Record& aRecord,
          std::string aFolder,
          std::string aName,
          std::string aZone,
          std::string aStore);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Start();
  void Signal(int aSignal);
  /// The status with which the process has ended, as of waitpid.
  std::optional<int> Ended();
  /// Resident memory in MB.
  int64_t ResidentMb() const;
  /// The last lines that the process has written.
  std::string LogTail() const;
  Endpoint Front() const { return front_; }
  Endpoint Ready() const { return ready_; }
  const std::string& Name() const { return name_; }

private:
  std::string SettingsText() const;

  Record& record_;
  std::string folder_;
  std::string name_;
  std::string zone_;
  std::string store_;
  Endpoint front_;
  Endpoint ready_;
  Endpoint peer_;
  Endpoint metrics_;
  pid_t pid_ = 0;
  std::optional<int> status_;
};

/// A worker: registers in the store, runs requests in slots, takes grants and
/// releases of keys.
class Worker
{
public:
  struct Options
  {
    std::string id_;
    std::string service_;
    std::string zone_;
    bool keyed_ = false;
    int slots_ = 6;
  };
  using Exchange = ScriptedServer::Exchange;
  /// Disruptions of a case; without them the worker is sound.
  struct Hooks
  {
    /// Called before a release is handled.
    std::function<void(Exchange&)> onRelease_;
    /// Returns the token of a handover.
    std::function<std::string()> handover_;
    /// Called for each grant that was accepted, of the keys from aFirst to
    /// aLast.
    std::function<void(uint32_t aFirst, uint32_t aLast, int64_t aFence)>
      onGranted_;
    std::function<void(const std::string& aId, const std::string& aTarget)>
      onRun_;
  };

  Worker(EventLoop& aLoop,
         PlatformStore& aStore,
         Record& aRecord,
         Options aOptions);

  void SetHooks(Hooks aHooks) { hooks_ = std::move(aHooks); }
  /// Reports draining, serves on for aMs, and ends.
  void Leave(TimeMs aMs);
  /// Sends these bytes once, at the next request on a connection that has
  /// carried one before, ahead of the answer.
  void SendStray(std::string aBytes) { stray_ = std::move(aBytes); }
  bool IsUp() const { return up_; }
  const std::string& Id() const { return options_.id_; }
  /// True if it holds the key.
  bool Holds(uint32_t aKey) const;
  /// A request on one of these keys that is running and whose hold, had it not
  /// been released, would not have run out yet; null if there is none.
  const std::string* RunningOn(uint32_t aFirst, uint32_t aLast) const;
  /// Last time at which a grant was accepted.
  TimeMs GrantedMs() const { return grantedMs_; }
  int Answers() const { return answers_; }

private:
  struct Key
  {
    int64_t fence_ = 0;
    TimeMs untilMs_ = 0;
    /// End of the hold even if the key was released before.
    TimeMs grantedUntilMs_ = 0;
  };
  struct Running
  {
    std::string id_;
    std::optional<uint32_t> key_;
  };
  struct Release
  {
    Exchange exchange_;
    uint32_t first_ = 0;
    uint32_t last_ = 0;
  };

  void Register();
  void Handle(Exchange& aExchange);
  void HandleGrant(Exchange& aExchange);
  void HandleRelease(Exchange& aExchange);
  void RunOrQueue(const Exchange& aExchange);
  void Begin(const Exchange& aExchange);
  void Finish(const Exchange& aExchange, const std::string& aId);
  void AnswerReleases();
  void Answer(const Exchange& aExchange,
              int aStatus,
              std::string_view aFields,
              std::string_view aBody);

  EventLoop& loop_;
  PlatformStore& store_;
  Record& record_;
  Options options_;
  Hooks hooks_;
  DelayedTasks tasks_;
  ScriptedServer server_;
  Timer heartbeat_;
  int64_t born_;
  int64_t seq_ = 0;
  bool up_ = true;
  bool draining_ = false;
  std::vector<Key> keys_;
  std::vector<Running> running_;
  std::vector<Exchange> waiting_;
  std::vector<Release> releases_;
  std::string stray_;
  TimeMs grantedMs_ = 0;
  int answers_ = 0;
};

/// One connection of a client.
class Client final : public StreamHandler
{
public:
  struct Handlers
  {
    std::function<void()> onConnected_;
    std::function<void(const HttpHead& aHead, const std::string& aBody)>
      onResponse_;
    std::function<void(CloseReason aReason)> onClosed_;
  };

  Client(EventLoop& aLoop, Handlers aHandlers);
  bool Connect(const Endpoint& aEndpoint);
  void Send(std::string_view aBytes) { stream_.Write(aBytes); }
  void Close() { stream_.Close(); }
  bool IsOpen() const { return stream_.IsOpen(); }

private:
  void OnConnected() override;
  void OnInput() override;
  void OnStreamClosed(CloseReason aReason) override;

  Handlers handlers_;
  TcpStream stream_;
  HttpParser parser_;
  std::string body_;
};

/// The deployment of a case. Owns the loop, the store and the temporary folder.
class Deployment
{
public:
  explicit Deployment(const std::string& aRecordPath);
  ~Deployment();

  EventLoop& Loop() { return loop_; }
  PlatformStore& Store() { return store_; }
  Record& Log() { return record_; }
  DelayedTasks& Tasks() { return tasks_; }
  Worker& AddWorker(Worker::Options aOptions);
  Gateway& AddGateway(const std::string& aName, const std::string& aZone);
  std::vector<std::unique_ptr<Worker>>& Workers() { return workers_; }
  std::vector<std::unique_ptr<Gateway>>& Gateways() { return gateways_; }

  struct Route
  {
    std::string name_;
    std::string prefix_;
    std::string kind_;
    std::string service_;
    double timeoutS_ = 5;
  };
  /// Writes the next version of the configuration.
  void PutConfig(const std::vector<Route>& aRoutes,
                 const std::vector<std::string>& aServices,
                 const std::vector<std::string>& aKeyedServices);
  /// Runs the loop; false if aDone doesn't return true within aMs.
  bool RunUntil(TimeMs aMs, const std::function<bool()>& aDone);
  void RunFor(TimeMs aMs);
  /// Waits until all gateways answer 200 to the platform's health check.
  bool AwaitReady(TimeMs aMs);
  std::string NextId();
  /// Ends the gateways and removes the temporary folder.
  void ShutDown();

private:
  EventLoop loop_;
  std::string folder_;
  Record record_;
  PlatformStore store_;
  DelayedTasks tasks_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  int version_ = 0;
  int nextId_ = 0;
};

/// Sends requests on keys at a steady rate to all gateways, each on a new
/// connection.
class KeyedCallers
{
public:
  /// Every aLongEvery-th request goes to aLongTarget, the others to aTarget.
  KeyedCallers(Deployment& aDeployment,
               TimeMs aIntervalMs,
               std::string aTarget,
               std::string aLongTarget,
               uint32_t aLongEvery);
  int Served() const { return served_; }

private:
  void SendNext();

  Deployment& deployment_;
  Timer timer_;
  TimeMs intervalMs_;
  std::string target_;
  std::string longTarget_;
  uint32_t longEvery_;
  uint32_t count_ = 0;
  int served_ = 0;
  std::vector<std::unique_ptr<Client>> clients_;
};

/// True unless the environment has TROUBLE=0.
bool HasTrouble();
/// Head of a request, with the blank line.
std::string RequestHead(std::string_view aMethod,
                        std::string_view aTarget,
                        std::string_view aId,
                        TimeMs aDeadlineMs,
                        std::string_view aFields = {});
/// Runs aCase with the path of the record. Returns the exit status: 0 if the
/// rule held, 1 if it was broken, 2 if the case couldn't run.
int RunCase(int aArgc,
            char** aArgv,
            const std::function<bool(Deployment& aDeployment)>& aCase);

}
