// Case review/11: another writer leaves an entry with an odd name among those
// of the workers. Checks that gateways don't end by themselves and lose
// requests that workers are running.

#include "GatewayProcesses.hpp"
#include "PagingStore.hpp"
#include "PlainWorker.hpp"
#include "Record.hpp"
#include "net/HttpParser.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <set>

#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr int kGateways = 4;
constexpr int kWorkers = 6;
constexpr int kClientsPerGateway = 8;
constexpr TimeMs kWorkMs = 200;
constexpr TimeMs kDeadlineMs = 4000;
constexpr TimeMs kReconnectMs = 50;
constexpr size_t kMaxHeadBytes = 32768;
constexpr TimeMs kStartMs = 3000;
constexpr TimeMs kQuietMs = 3000;
constexpr TimeMs kGraceMs = 6000;
/// Planned work: machines are stopped and started in turn.
constexpr int kStopped = 2;
constexpr TimeMs kStopEveryMs = 8000;
constexpr TimeMs kRunMs = 44000;
/// At the end all machines are killed at once and start again. From recovery-s
/// on, the requests of some seconds are counted.
constexpr TimeMs kRecoveryMs = 15000;
constexpr TimeMs kLastMs = 5000;
constexpr TimeMs kCheckMs = 20;
constexpr TimeMs kRestartMs = 500;
/// A process that exceeds its memory is killed.
constexpr int64_t kMemoryMb = 260;
/// The entry is within value-bytes.
constexpr size_t kOddBytes = 1000000;
/// More such requests of one gateway break the rule.
constexpr int kAllowed = 3;

struct Observations
{
  std::set<std::string> run_; ///< requests that a worker began to run
  int64_t sent_ = 0;
  int64_t served_ = 0;
};

/// Client that keeps its connection and sends one safe request at a time.
class Client final : public StreamHandler
{
public:
  Client(EventLoop& aLoop,
         Record& aRecord,
         Observations& aSeen,
         Endpoint aGateway,
         std::string aName)
    : record_(aRecord)
    , seen_(aSeen)
    , gateway_(aGateway)
    , name_(std::move(aName))
    , stream_(aLoop, *this)
    , parser_(HttpMessageType::Response, kMaxHeadBytes)
    , timer_(aLoop, [this] { Connect(); })
  {
    Connect();
  }

  /// Requests that a worker was running when the connection was closed.
  int Lost() const { return lost_; }
  void Stop() { stopped_ = true; }

private:
  void Connect()
  {
    answered_ = 0;
    parser_ = HttpParser(HttpMessageType::Response, kMaxHeadBytes);
    stream_.Input().clear();
    stream_.Connect(gateway_);
  }
  void OnConnected() override { Send(); }
  void Send()
  {
    if (stopped_) {
      return;
    }
    waiting_ = Concat(name_, "-", ++lastRequest_);
    record_.Line(Concat("send ", waiting_));
    ++seen_.sent_;
    stream_.Write(Concat("GET /lookup/",
                         lastRequest_,
                         " HTTP/1.1\r\nHost: registry.example\r\n"
                         "Cactuspitch-Request-Id: ",
                         waiting_,
                         "\r\nCactuspitch-Deadline-Remaining: ",
                         kDeadlineMs,
                         "\r\n\r\n"));
  }
  void OnInput() override
  {
    std::string body;
    if (parser_.Parse(stream_.Input(), body) != ParseState::Done) {
      return;
    }
    const int status = parser_.Head().status_;
    const bool keepsAlive = parser_.Head().KeepsAlive();
    record_.Line(Concat("answer ", waiting_, " ", status));
    constexpr int kOk = 200;
    seen_.served_ += status == kOk ? 1 : 0;
    ++answered_;
    waiting_.clear();
    parser_ = HttpParser(HttpMessageType::Response, kMaxHeadBytes);
    if (status == kOk && keepsAlive) {
      Send();
    } else {
      // Tries again on a new connection.
      stream_.Close();
      timer_.Start(kReconnectMs);
    }
  }
  void OnStreamClosed(CloseReason) override
  {
    if (!waiting_.empty() && answered_ > 0 && seen_.run_.contains(waiting_)) {
      ++lost_;
      record_.Line(Concat("LOST: ", waiting_, " was passed on to a worker"));
    }
    waiting_.clear();
    if (!stopped_) {
      timer_.Start(kReconnectMs);
    }
  }

  Record& record_;
  Observations& seen_;
  Endpoint gateway_;
  std::string name_;
  TcpStream stream_;
  HttpParser parser_;
  Timer timer_;
  std::string waiting_;
  int64_t lastRequest_ = 0;
  int answered_ = 0; ///< on this connection
  int lost_ = 0;
  bool stopped_ = false;
};

class OddEntryCase
{
public:
  OddEntryCase(const char* aRecord, bool aTrouble)
    : trouble_(aTrouble)
    , record_(loop_, aRecord)
    , store_(loop_)
    , pages_(loop_, store_)
    , tasks_(loop_)
    , checkTimer_(loop_, [this] { CheckProcesses(); })
  {
  }

  int Run()
  {
    WriteConfig();
    AddWorkers();
    for (int index = 0; index < kGateways; ++index) {
      gateways_.push_back(
        NewGatewayAddresses(Concat("g", index), "z0", pages_.Address()));
      processes_.Start(gateways_.back());
    }
    RunLoopFor(loop_, kStartMs);
    checkTimer_.Start(kCheckMs);
    for (const auto& gateway : gateways_) {
      for (int client = 0; client < kClientsPerGateway; ++client) {
        clients_[gateway.name_].push_back(
          std::make_unique<Client>(loop_,
                                   record_,
                                   seen_,
                                   gateway.front_,
                                   Concat(gateway.name_, "c", client)));
      }
    }
    RunLoopFor(loop_, kQuietMs);
    if (trouble_) {
      record_.Line("another writer leaves an entry");
      store_.Put(
        "servers", "blue&green-3", { { "note", std::string(kOddBytes, 'x') } });
    }
    RunLoopFor(loop_, kQuietMs);
    for (int index = 0; index < kStopped; ++index) {
      StopAndStart(gateways_[index]);
      RunLoopFor(loop_, kStopEveryMs);
    }
    RunLoopFor(loop_, kRunMs);
    const bool broken = JudgeLost();
    record_.Line("all are killed");
    for (const auto& gateway : gateways_) {
      processes_.Signal(gateway.name_, SIGKILL);
    }
    RunLoopFor(loop_, kRestartMs + kRecoveryMs);
    const auto served = seen_.served_;
    const auto sent = seen_.sent_;
    RunLoopFor(loop_, kLastMs);
    record_.Finding(Concat("sent later than 15 s after all were back: ",
                           seen_.sent_ - sent,
                           ", answered 200 ",
                           seen_.served_ - served));
    return served == 0 ? 2 : broken ? 1 : 0;
  }
  void EndProcesses() { processes_.EndAll(); }

private:
  using Json = nlohmann::json;

  bool JudgeLost()
  {
    bool broken = false;
    for (const auto& gateway : gateways_) {
      int lost = 0;
      for (const auto& client : clients_[gateway.name_]) {
        lost += client->Lost();
      }
      broken |= lost > kAllowed;
      record_.Finding(Concat(gateway.name_,
                             ": ended by memory ",
                             ends_[gateway.name_],
                             " times, largest ",
                             largestMb_[gateway.name_],
                             " MB; requests lost that a worker was running ",
                             lost));
    }
    record_.Finding(
      Concat("requests sent ", seen_.sent_, ", answered 200 ", seen_.served_));
    return broken;
  }
  void WriteConfig()
  {
    store_.Put(
      "config",
      "main",
      { { "version", "r1" },
        { "services",
          Json::array(
            { { { "name", "registry" }, { "max-connections", 110 } } }) },
        { "limits",
          { { "max-header-bytes", 8192 },
            { "max-body-bytes", 100000 },
            { "header-timeout-s", 5 },
            { "idle-timeout-s", 30 } } },
        { "virtual-hosts",
          Json::array(
            { { { "host", "registry.example" },
                { "paths",
                  Json::array({ { { "name", "lookup" },
                                  { "path-prefix", "/lookup/" },
                                  { "kind", "safe" },
                                  { "service", "registry" },
                                  { "timeout-s", 4.0 },
                                  { "target-latency-s", 0.5 },
                                  { "priority", 2 },
                                  { "max-attempts", 3 } } }) } } }) } });
  }
  void AddWorkers()
  {
    for (int index = 0; index < kWorkers; ++index) {
      workers_.push_back(std::make_unique<PlainWorker>(
        loop_,
        store_,
        record_,
        Concat("i-", index),
        "registry",
        [this](PlainWorker& aWorker, const PlainWorker::Exchange& aExchange) {
          seen_.run_.insert(PlainWorker::RequestId(aExchange));
          aWorker.After(kWorkMs, [aExchange] {
            aExchange.write_(PlainWorker::Response(
              aExchange, 200, "Cactuspitch-Response-Seal: s\r\n", "found"));
          });
        }));
    }
  }
  /// Planned work, without trouble too.
  void StopAndStart(const GatewayAddresses& aGateway)
  {
    record_.Line(Concat("SIGTERM to ", aGateway.name_));
    stopping_ = aGateway.name_;
    processes_.Signal(aGateway.name_, SIGTERM);
    tasks_.After(kGraceMs, [this] { processes_.Signal(stopping_, SIGKILL); });
  }
  void CheckProcesses()
  {
    checkTimer_.Start(kCheckMs);
    for (const auto& gateway : gateways_) {
      const auto& name = gateway.name_;
      if (processes_.HasEnded(name)) {
        if (!restarting_.insert(name).second) {
          continue;
        }
        record_.Line(Concat("ended: ", name));
        tasks_.After(kRestartMs, [this, gateway] {
          stopping_.clear();
          restarting_.erase(gateway.name_);
          record_.Line(Concat("start: ", gateway.name_));
          processes_.Start(gateway);
        });
        continue;
      }
      const auto megabytes = ResidentMb(processes_.Pid(name));
      largestMb_[name] = std::max(largestMb_[name], megabytes);
      if (megabytes > kMemoryMb) {
        ++ends_[name];
        record_.Finding(Concat(name, " exceeds its memory and is killed"));
        processes_.Signal(name, SIGKILL);
      }
    }
  }
  static int64_t ResidentMb(pid_t aPid)
  {
    std::ifstream file(Concat("/proc/", aPid, "/statm"));
    int64_t total = 0;
    int64_t resident = 0;
    file >> total >> resident;
    constexpr int kBytesPerMbShift = 20;
    return resident * ::getpagesize() >> kBytesPerMbShift;
  }

  bool trouble_;
  EventLoop loop_;
  Record record_;
  PlatformStore store_;
  PagingStore pages_;
  DelayedTasks tasks_;
  Timer checkTimer_;
  std::vector<GatewayAddresses> gateways_;
  std::vector<std::unique_ptr<PlainWorker>> workers_;
  std::map<std::string, std::vector<std::unique_ptr<Client>>> clients_;
  Observations seen_;
  std::string stopping_;
  std::set<std::string> restarting_;
  std::map<std::string, int> ends_;
  std::map<std::string, int64_t> largestMb_;
  GatewayProcesses processes_; ///< ended before the stand-ins
};

}
}

int main(int aArgc, char** aArgv)
{
  if (aArgc < 2) {
    return 2;
  }
  try {
    const char* trouble = std::getenv("TROUBLE");
    cactuspitch::OddEntryCase run(
      aArgv[1], trouble == nullptr || std::string(trouble) != "0");
    const int result = run.Run();
    run.EndProcesses();
    // Tasks that are due would run when the stand-ins are destroyed.
    std::fflush(nullptr);
    std::_Exit(result);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
