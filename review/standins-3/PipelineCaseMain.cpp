// Case review/13: a client sends a safe request before its first request has
// been answered, and the worker of the first is slow. The second one has been
// answered by its worker, with a large body. Checks that the connection is not
// closed before the first request, a lookup or a record, is answered.

#include "GatewayProcesses.hpp"
#include "PlainWorker.hpp"
#include "Record.hpp"
#include "net/HttpParser.hpp"

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <set>

namespace cactuspitch {
namespace {

constexpr int kGateways = 2;
constexpr int kLookupWorkers = 6;
constexpr int kLibraryWorkers = 4;
/// A third of the lookup workers are five times as slow for 6.5 s, then as fast
/// as before for 3.5 s.
constexpr int kSlowWorkers = kLookupWorkers / 3;
constexpr int kSlowFactor = 5;
constexpr TimeMs kSlowForMs = 6500;
constexpr TimeMs kSlowEveryMs = 10000;
constexpr int kClientsPerGateway = 8;
constexpr TimeMs kStartMs = 3000;
constexpr TimeMs kRunMs = 60000;
constexpr TimeMs kLookupMs = 500;
constexpr TimeMs kLibraryMs = 20;
constexpr size_t kLibraryBytes = 400000;
constexpr double kFirstTimeoutS = 5;
constexpr double kLibraryTimeoutS = 1.5;
constexpr TimeMs kDeadlineMs = 5000;
constexpr TimeMs kReconnectMs = 50;
constexpr size_t kMaxHeadBytes = 32768;
/// More such requests of one gateway break the rule.
constexpr int kAllowed = 3;

struct Observations
{
  std::set<std::string> run_; ///< requests that a worker began to run
  int64_t sent_ = 0;
  int64_t served_ = 0;
};

/// Client that keeps its connection and sends two requests at a time, the
/// second one safe.
class Client final : public StreamHandler
{
public:
  Client(EventLoop& aLoop,
         Record& aRecord,
         Observations& aSeen,
         Endpoint aGateway,
         std::string aName,
         bool aRecords)
    : record_(aRecord)
    , seen_(aSeen)
    , gateway_(aGateway)
    , name_(std::move(aName))
    , records_(aRecords)
    , stream_(aLoop, *this)
    , parser_(HttpMessageType::Response, kMaxHeadBytes)
    , timer_(aLoop, [this] { Connect(); })
  {
    Connect();
  }

  /// First requests that a worker was running when the connection was closed.
  int Lost() const { return lost_; }
  void Stop() { stopped_ = true; }

private:
  void Connect()
  {
    parser_ = HttpParser(HttpMessageType::Response, kMaxHeadBytes);
    stream_.Connect(gateway_);
  }
  void OnConnected() override { SendPair(); }
  void SendPair()
  {
    if (stopped_) {
      return;
    }
    std::string text;
    AddRequest(text, records_ ? "POST /record/" : "GET /lookup/", records_);
    AddRequest(text, "GET /library/", false);
    stream_.Write(text);
  }
  void AddRequest(std::string& aText, std::string_view aPath, bool aHasBody)
  {
    const auto id = Concat(name_, "-", ++lastRequest_);
    AppendTo(aText,
             aPath,
             lastRequest_,
             " HTTP/1.1\r\nHost: registry.example\r\n"
             "Cactuspitch-Request-Id: ",
             id,
             "\r\nCactuspitch-Deadline-Remaining: ",
             kDeadlineMs,
             aHasBody ? "\r\nContent-Length: 6\r\n\r\nrecall" : "\r\n\r\n");
    record_.Line(Concat("send ", id, " ", aPath));
    waiting_.push_back(id);
    ++seen_.sent_;
  }
  void OnInput() override
  {
    std::string body;
    while (!waiting_.empty() &&
           parser_.Parse(stream_.Input(), body) == ParseState::Done) {
      const int status = parser_.Head().status_;
      seen_.served_ += status == 200 ? 1 : 0;
      record_.Line(Concat("answer ", waiting_.front(), " ", status));
      waiting_.pop_front();
      parser_ = HttpParser(HttpMessageType::Response, kMaxHeadBytes);
    }
    if (waiting_.empty()) {
      SendPair();
    }
  }
  void OnStreamClosed(CloseReason) override
  {
    for (const auto& id : std::exchange(waiting_, {})) {
      record_.Line(Concat("closed without an answer: ", id));
      // The first of two requests has an odd number.
      const bool isFirst = (id.back() - '0') % 2 == 1;
      if (isFirst && seen_.run_.contains(id)) {
        ++lost_;
        record_.Line(Concat("LOST: ", id, " was passed on to a worker"));
      }
    }
    if (!stopped_) {
      timer_.Start(kReconnectMs);
    }
  }

  Record& record_;
  Observations& seen_;
  Endpoint gateway_;
  std::string name_;
  bool records_; ///< the first request is a record, which is not safe
  TcpStream stream_;
  HttpParser parser_;
  Timer timer_;
  std::deque<std::string> waiting_;
  int64_t lastRequest_ = 0;
  int lost_ = 0;
  bool stopped_ = false;
};

class PipelineCase
{
public:
  PipelineCase(const char* aRecord, bool aTrouble)
    : trouble_(aTrouble)
    , record_(loop_, aRecord)
    , store_(loop_)
    , largeBody_(kLibraryBytes, 'x')
  {
  }

  int Run()
  {
    WriteConfig();
    AddWorkers();
    std::vector<GatewayAddresses> gateways;
    for (int index = 0; index < kGateways; ++index) {
      gateways.push_back(
        NewGatewayAddresses(Concat("g", index), "z0", store_.Address()));
      processes_.Start(gateways.back());
    }
    RunLoopFor(loop_, kStartMs);
    std::vector<std::vector<std::unique_ptr<Client>>> clients(kGateways);
    for (int index = 0; index < kGateways; ++index) {
      for (int client = 0; client < kClientsPerGateway; ++client) {
        clients[index].push_back(
          std::make_unique<Client>(loop_,
                                   record_,
                                   seen_,
                                   gateways[index].front_,
                                   Concat("c", index, client),
                                   client % 2 == 1));
      }
    }
    RunLoopFor(loop_, kRunMs);
    bool broken = false;
    for (int index = 0; index < kGateways; ++index) {
      int lost = 0;
      for (const auto& client : clients[index]) {
        client->Stop();
        lost += client->Lost();
      }
      broken |= lost > kAllowed;
      record_.Finding(
        Concat(gateways[index].name_,
               ": connections closed while a worker was at work on the "
               "first request: ",
               lost));
    }
    record_.Finding(
      Concat("requests sent ", seen_.sent_, ", answered 200 ", seen_.served_));
    if (seen_.served_ * 2 < seen_.sent_ || seen_.sent_ == 0) {
      record_.Finding("fewer than half of the requests were served");
      return 2;
    }
    return broken ? 1 : 0;
  }

  void EndProcesses() { processes_.EndAll(); }

private:
  using Json = nlohmann::json;

  void WriteConfig()
  {
    const auto route = [](const char* aName,
                          const char* aPrefix,
                          const char* aKind,
                          const char* aService,
                          double aTimeoutS) {
      return Json{ { "name", aName },          { "path-prefix", aPrefix },
                   { "kind", aKind },          { "service", aService },
                   { "timeout-s", aTimeoutS }, { "target-latency-s", 1.0 },
                   { "priority", 2 },          { "max-attempts", 3 } };
    };
    store_.Put(
      "config",
      "main",
      { { "version", "r1" },
        { "services",
          Json::array(
            { { { "name", "registry" }, { "max-connections", 110 } },
              { { "name", "library" }, { "max-connections", 110 } } }) },
        { "limits",
          { { "max-header-bytes", 8192 },
            { "max-body-bytes", 100000 },
            { "header-timeout-s", 5 },
            { "idle-timeout-s", 30 } } },
        { "virtual-hosts",
          Json::array(
            { { { "host", "registry.example" },
                { "paths",
                  Json::array({ route("lookup",
                                      "/lookup/",
                                      "safe",
                                      "registry",
                                      kFirstTimeoutS),
                                route("record",
                                      "/record/",
                                      "unsafe",
                                      "registry",
                                      kFirstTimeoutS),
                                route("library",
                                      "/library/",
                                      "safe",
                                      "library",
                                      kLibraryTimeoutS) }) } } }) } });
  }
  void AddWorkers()
  {
    for (int index = 0; index < kLookupWorkers; ++index) {
      const bool turnsSlow = trouble_ && index < kSlowWorkers;
      workers_.push_back(std::make_unique<PlainWorker>(
        loop_,
        store_,
        record_,
        Concat("i-lookup-", index),
        "registry",
        [this, turnsSlow](PlainWorker& aWorker,
                          const PlainWorker::Exchange& aExchange) {
          seen_.run_.insert(PlainWorker::RequestId(aExchange));
          const bool slow =
            turnsSlow && record_.ElapsedMs() % kSlowEveryMs < kSlowForMs;
          aWorker.After(slow ? kLookupMs * kSlowFactor : kLookupMs,
                        [this, aExchange] { Answer(aExchange, "found"); });
        }));
    }
    for (int index = 0; index < kLibraryWorkers; ++index) {
      workers_.push_back(std::make_unique<PlainWorker>(
        loop_,
        store_,
        record_,
        Concat("i-library-", index),
        "library",
        [this](PlainWorker& aWorker, const PlainWorker::Exchange& aExchange) {
          aWorker.After(kLibraryMs,
                        [this, aExchange] { Answer(aExchange, largeBody_); });
        }));
    }
  }
  void Answer(const PlainWorker::Exchange& aExchange, std::string_view aBody)
  {
    record_.Line(
      Concat("answered by its worker: ", PlainWorker::RequestId(aExchange)));
    aExchange.write_(PlainWorker::Response(
      aExchange, 200, "Cactuspitch-Response-Seal: s\r\n", aBody));
  }

  bool trouble_;
  EventLoop loop_;
  Record record_;
  PlatformStore store_;
  std::string largeBody_;
  Observations seen_;
  std::vector<std::unique_ptr<PlainWorker>> workers_;
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
    cactuspitch::PipelineCase run(
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
