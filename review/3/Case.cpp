// Bytes that are no text in a server's answer to a release end the process of
// the leader, with all requests that it has passed on.

#include "common/Strings.hpp"
#include "review/standins/Standins.hpp"

#include <set>

namespace cactuspitch::review {
namespace {

constexpr TimeMs kDeadlineMs = 2500;
constexpr int kCallersPerGateway = 8;

/// Sends requests to a service without keys one after the other on a
/// connection that it keeps.
class Caller
{
public:
  Caller(Deployment& aDeployment,
         Gateway& aGateway,
         std::set<std::string>& aRun)
    : deployment_(aDeployment)
    , log_(aDeployment.Log())
    , gateway_(aGateway)
    , run_(aRun)
    , nextTimer_(aDeployment.Loop(), [this] { Next(); })
  {
    Next();
  }
  int Served() const { return served_; }
  int Lost() const { return lost_; }

private:
  void Next()
  {
    constexpr TimeMs kRetryMs = 200;
    if (client_ != nullptr && client_->IsOpen()) {
      Send();
      return;
    }
    deployment_.Loop().Defer([last = std::shared_ptr(std::move(client_))] {});
    client_ = std::make_unique<Client>(
      deployment_.Loop(),
      Client::Handlers{ [this] { Send(); },
                        [this](const HttpHead& aHead, const std::string&) {
                          OnResponse(aHead);
                        },
                        [this](CloseReason aReason) { OnClosed(aReason); } });
    if (!client_->Connect(gateway_.Front())) {
      nextTimer_.Start(kRetryMs);
    }
  }
  void Send()
  {
    id_ = deployment_.NextId();
    log_.Add(Concat("client sends ", id_, " to ", gateway_.Name()));
    client_->Send(RequestHead(
      "POST", "/record/w300/", id_, kDeadlineMs, "Content-Length: 0\r\n"));
  }
  void OnResponse(const HttpHead& aHead)
  {
    constexpr TimeMs kPauseMs = 50;
    constexpr int kOk = 200;
    served_ += aHead.status_ == kOk ? 1 : 0;
    kept_ = true;
    log_.Add(Concat("client gets ", aHead.status_, " for ", id_));
    id_.clear();
    if (!aHead.KeepsAlive()) {
      client_->Close();
    }
    nextTimer_.Start(kPauseMs);
  }
  void OnClosed(CloseReason aReason)
  {
    constexpr TimeMs kRetryMs = 200;
    if (kept_ && run_.contains(id_)) {
      ++lost_;
      log_.Add(Concat("connection to ",
                      gateway_.Name(),
                      " ends: ",
                      EnumName(aReason),
                      ", no answer to ",
                      id_,
                      ", which runs at a sound worker"));
    }
    id_.clear();
    kept_ = false;
    nextTimer_.Start(kRetryMs);
  }

  Deployment& deployment_;
  Record& log_;
  Gateway& gateway_;
  std::set<std::string>& run_;
  Timer nextTimer_;
  std::unique_ptr<Client> client_;
  std::string id_;
  bool kept_ = false; ///< the connection has carried an answer before
  int served_ = 0;
  int lost_ = 0;
};

/// Restarts gateways that have ended, as the platform does.
class Platform
{
public:
  explicit Platform(Deployment& aDeployment)
    : deployment_(aDeployment)
    , timer_(aDeployment.Loop(), [this] { Check(); })
  {
    Check();
  }
  const std::map<std::string, int>& Ends() const { return ends_; }

private:
  void Check()
  {
    constexpr TimeMs kCheckMs = 20;
    constexpr TimeMs kRestartMs = 500;
    timer_.Start(kCheckMs);
    for (const auto& gateway : deployment_.Gateways()) {
      const auto status = gateway->Ended();
      if (!status || restarting_.contains(gateway->Name())) {
        continue;
      }
      ++ends_[gateway->Name()];
      restarting_.insert(gateway->Name());
      deployment_.Log().Add(Concat(gateway->Name(),
                                   " has ended by itself, status ",
                                   *status,
                                   "; its last lines:\n",
                                   gateway->LogTail()));
      deployment_.Tasks().After(kRestartMs, [this, own = gateway.get()] {
        own->Start();
        restarting_.erase(own->Name());
      });
    }
  }

  Deployment& deployment_;
  Timer timer_;
  std::set<std::string> restarting_;
  std::map<std::string, int> ends_;
};

bool RunWrongToken(Deployment& aDeployment)
{
  constexpr TimeMs kStartMs = 15000;
  constexpr TimeMs kLeaveMs = 2700;
  constexpr TimeMs kSteadyMs = 8000;
  constexpr TimeMs kEndMs = 6000;
  constexpr TimeMs kLookupIntervalMs = 30;
  /// More than three requests may not be lost.
  constexpr int kAllowedLosses = 3;
  auto& log = aDeployment.Log();
  aDeployment.PutConfig({ { "lookup", "/lookup/", "safe", "query", 1 },
                          { "record", "/record/", "unsafe", "ledger", 2 } },
                        { "query", "ledger" },
                        { "query" });
  auto& leaving = aDeployment.AddWorker({ "w-a", "query", "zone-a", true, 6 });
  aDeployment.AddWorker({ "w-b", "query", "zone-b", true, 6 });
  std::set<std::string> run;
  int answersBefore = 0;
  for (const auto* name : { "w-c", "w-d", "w-e", "w-f" }) {
    Worker::Hooks hooks;
    hooks.onRun_ = [&run](const std::string& aId, const std::string&) {
      run.insert(aId);
    };
    aDeployment.AddWorker({ name, "ledger", "zone-a", false, 6 })
      .SetHooks(std::move(hooks));
  }
  if (HasTrouble()) {
    Worker::Hooks hooks;
    hooks.handover_ = [&, sent = false]() mutable {
      if (std::exchange(sent, true)) {
        return std::string("5c0e7a21d94b36f8");
      }
      log.Add(Concat("w-a sends wrong bytes in its answer to a release; it has "
                     "given ",
                     leaving.Answers() - answersBefore,
                     " right answers in the last ",
                     kSteadyMs / 2,
                     " ms"));
      return std::string("5c0e7a21\xd9\x4b\xf0\xf8");
    };
    leaving.SetHooks(std::move(hooks));
  }
  for (const auto* name : { "g1", "g2", "g3" }) {
    aDeployment.AddGateway(name, "zone-a").Start();
  }
  if (!aDeployment.AwaitReady(kStartMs)) {
    return false;
  }
  const Platform platform(aDeployment);
  std::vector<std::unique_ptr<Caller>> callers;
  for (const auto& gateway : aDeployment.Gateways()) {
    for (int index = 0; index < kCallersPerGateway; ++index) {
      callers.push_back(std::make_unique<Caller>(aDeployment, *gateway, run));
      aDeployment.RunFor(10);
    }
  }
  const KeyedCallers lookups(
    aDeployment, kLookupIntervalMs, "/lookup/w60/", "/lookup/w60/", 1);
  aDeployment.RunFor(kSteadyMs / 2);
  answersBefore = leaving.Answers();
  aDeployment.RunFor(kSteadyMs / 2);
  if (leaving.GrantedMs() == 0) {
    return false;
  }
  leaving.Leave(kLeaveMs);
  aDeployment.RunFor(kEndMs);
  int served = 0;
  int lost = 0;
  for (const auto& caller : callers) {
    served += caller->Served();
    lost += caller->Lost();
  }
  log.Add(Concat(served, " served, ", lost, " lost"));
  if (lost > kAllowedLosses) {
    log.AddBreach(Concat(lost,
                         " requests were passed on to sound workers, and their "
                         "kept connections ended without an answer"));
  }
  return served > 0;
}

}
}

int main(int aArgc, char** aArgv)
{
  return cactuspitch::review::RunCase(
    aArgc, aArgv, cactuspitch::review::RunWrongToken);
}
