// Cost of the router against the same backend server without it: request rate,
// added latency, and memory while many callers fetch large answers. Backend
// server, router and load run in processes of their own.

#include "common/HttpConnection.hpp"
#include "common/Strings.hpp"
#include "router/Router.hpp"
#include "standin/StandinBackend.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <vector>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cactuspitch {
namespace {

constexpr char kBackend[] = "127.0.0.1:23901";
constexpr char kRouter[] = "127.0.0.1:23902";
constexpr char kRouterRpc[] = "127.0.0.1:23903";
constexpr int kConnections = 32;
constexpr TimeMs kRunMs = 4000;
constexpr TimeMs kDeadlineMs = 30000;
using Clock_ = std::chrono::steady_clock;

/// One table that never changes.
class StaticTables final : public RoutingTables
{
public:
  StaticTables()
  {
    GroupTable table;
    table.service_ = "svc";
    table.sequence_ = 1;
    BackendServerRecord record;
    record.id_ = "backend";
    record.address_ = kBackend;
    record.slots_ = 64;
    record.connections_ = 100;
    table.servers_ = { record };
    constexpr KeyHash kSlices = 256;
    for (KeyHash i = 0; i < kSlices; ++i) {
      table.slices_.push_back(
        { i * (UINT64_MAX / kSlices + 1), 1, 0, kNoServer });
    }
    table_ = std::make_shared<const FollowedTable>(
      FollowedTable{ std::move(table), INT64_MAX });
  }
  std::shared_ptr<const FollowedTable> Table(std::string_view,
                                             KeyHash) const override
  {
    return table_;
  }
  std::vector<std::shared_ptr<const FollowedTable>> Tables() const override
  {
    return { table_ };
  }
  std::vector<std::string> RouterPeers() const override
  {
    return { kRouterRpc };
  }
  std::shared_ptr<const FollowedConfig> Config() const override
  {
    return nullptr;
  }
  std::string AssignerAddress(const std::string&) const override { return {}; }
  bool IsReady() const override { return true; }
  bool WaitNewer(std::string_view, KeyHash, Term, int64_t, TimeMs) override
  {
    return false;
  }
  void RequestRefresh(std::string_view, KeyHash) override {}

private:
  std::shared_ptr<const FollowedTable> table_;
};

template<typename Run>
pid_t StartProcess(Run&& aRun)
{
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    aRun();
    _exit(EXIT_FAILURE);
  }
  return child;
}

void RunBackend()
{
  const SteadyClock clock;
  StandinBackend backend(clock,
                         { .id_ = "backend",
                           .service_ = "svc",
                           .failureDomain_ = "local",
                           .listen_ = kBackend,
                           .slots_ = 64,
                           .connections_ = 200,
                           .connectCostMs_ = 1,
                           .acceptsDirect_ = true,
                           .keepsHistory_ = false });
  if (backend.Start().ok()) {
    pause();
  }
}

void RunRouter()
{
  const SteadyClock clock;
  StaticTables tables;
  RouterSettings settings;
  settings.instance_ = "bench";
  settings.listen_ = kRouter;
  settings.rpcListen_ = kRouterRpc;
  settings.threads_ = 256;
  settings.maxParked_ = 128;
  settings.maxPathBytes_ = 4096;
  settings.ledgerEntries_ = 1000;
  settings.keepAliveMs_ = 60000;
  settings.writeTimeoutMs_ = 30000;
  settings.peerTimeoutMs_ = 200;
  Router router(clock, settings, tables);
  if (router.Start().ok()) {
    pause();
  }
}

/// Grants all keys to the backend server; the lease outlives the run.
bool Grant()
{
  const SteadyClock clock;
  HttpConnection connection(clock, kBackend);
  const auto bound = [&] { return clock.NowMs() + 1000; };
  constexpr size_t kMaxBytes = 1 << 20;
  const auto send = [&](const std::string& aBody) {
    return connection.Exchange(
      { "POST", "/_cactuspitch/grant", {}, aBody }, bound(), kMaxBytes);
  };
  const auto report = send(R"({"group":"svc.0","term":1,"sequence":1,)"
                           R"("incarnation":""})");
  if (!report.ok()) {
    return false;
  }
  TimeMs stamp = 0;
  ParseNumber(report->head_.Header(header::kClockMs), stamp);
  const auto granted =
    send(Concat(R"({"group":"svc.0","term":1,"sequence":2,"incarnation":")",
                report->head_.Header(header::kIncarnation),
                R"(","validUntilMs":)",
                stamp + 600000,
                R"(,"add":[{"begin":0,"end":18446744073709551615,"epoch":1}],)",
                R"("remove":[],"full":true})"));
  return granted.ok() && granted->head_.status_ == 200;
}

struct Result
{
  double rate_ = 0;
  double p50Us_ = 0;
  double p99Us_ = 0;
  int64_t failures_ = 0;
};

/// aRate 0: as fast as possible; otherwise evenly spaced over the connections.
Result Load(const std::string& aAddress, double aRate)
{
  std::atomic<int64_t> failures = 0;
  std::vector<std::vector<double>> latencies(kConnections);
  std::vector<std::thread> threads;
  const auto start = Clock_::now();
  const auto end = start + std::chrono::milliseconds(kRunMs);
  for (int i = 0; i < kConnections; ++i) {
    threads.emplace_back([&, i] {
      const SteadyClock clock;
      HttpConnection connection(clock, aAddress);
      const auto gap = std::chrono::duration_cast<Clock_::duration>(
        std::chrono::duration<double>(aRate > 0 ? kConnections / aRate : 0));
      auto next = start + gap * i / kConnections;
      for (int n = 0; Clock_::now() < end; ++n) {
        if (aRate > 0) {
          std::this_thread::sleep_until(next);
        }
        const auto begin = aRate > 0 ? next : Clock_::now();
        next += gap;
        const auto answer =
          connection.Exchange({ "GET", Concat("/svc/k", i, "-", n), {}, {} },
                              clock.NowMs() + kDeadlineMs,
                              1 << 20);
        if (!answer.ok() || answer->head_.status_ != 200) {
          ++failures;
        }
        latencies[i].push_back(
          std::chrono::duration<double, std::micro>(Clock_::now() - begin)
            .count());
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  std::vector<double> all;
  for (const auto& part : latencies) {
    all.insert(all.end(), part.begin(), part.end());
  }
  std::ranges::sort(all);
  const auto quantile = [&](double aShare) {
    return all.empty() ? 0
                       : all[static_cast<size_t>(aShare * (all.size() - 1))];
  };
  constexpr double kMsPerSecond = 1000;
  return { static_cast<double>(all.size()) * kMsPerSecond / kRunMs,
           quantile(0.5),
           quantile(0.99),
           failures };
}

/// Processor time of a process so far. Unlike rates it depends little on what
/// else the machine runs.
double CpuUs(pid_t aProcess)
{
  std::ifstream stat(Concat("/proc/", aProcess, "/stat"));
  std::string text;
  std::getline(stat, text);
  // Fields after the name, which ends with a bracket; 14 and 15 are the times.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBefore = 11;
  for (int i = 0; i < kFieldsBefore; ++i) {
    fields >> skipped;
  }
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  constexpr double kUsPerSecond = 1e6;
  return static_cast<double>(user + system) * kUsPerSecond /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

int64_t ResidentKb(pid_t aProcess)
{
  std::ifstream status(Concat("/proc/", aProcess, "/status"));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::strtoll(line.c_str() + 6, nullptr, 10);
    }
  }
  return 0;
}

void MeasureMemory(pid_t aRouter)
{
  constexpr int kCallers = 64;
  constexpr int64_t kBytes = 50 * 1000 * 1000;
  const auto idleKb = ResidentKb(aRouter);
  std::atomic<int> running = kCallers;
  std::atomic<int64_t> received = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const SteadyClock clock;
      HttpConnection connection(clock, kRouter);
      const TimeMs bound = clock.NowMs() + kDeadlineMs;
      std::vector<char> buffer(16 * 1024);
      const HttpRequest request{
        "GET", Concat("/svc/blob", i, "/blob?bytes=", kBytes), {}, {}
      };
      if (connection.Connect(bound).ok() &&
          connection.Write(request, bound).ok() &&
          connection.ReadHead(bound).ok()) {
        while (true) {
          const auto got =
            connection.ReadBody(buffer.data(), buffer.size(), bound);
          if (!got.ok() || *got == 0) {
            break;
          }
          received += static_cast<int64_t>(*got);
        }
      }
      --running;
    });
  }
  int64_t peakKb = idleKb;
  const auto start = Clock_::now();
  while (running > 0) {
    peakKb = std::max(peakKb, ResidentKb(aRouter));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  for (auto& caller : callers) {
    caller.join();
  }
  std::printf(
    "memory: idle %ld KB, peak %ld KB, added %.1f MB; %d x 50 MB, received "
    "%.1f MB in %.1f s\n",
    static_cast<long>(idleKb),
    static_cast<long>(peakKb),
    static_cast<double>(peakKb - idleKb) / 1024,
    kCallers,
    static_cast<double>(received) / 1e6,
    std::chrono::duration<double>(Clock_::now() - start).count());
}

/// Processor time for each request in the processes of aIds.
void PrintCpu(const std::vector<pid_t>& aIds,
              const std::vector<double>& aBefore,
              double aRequests)
{
  for (size_t i = 0; i < aIds.size(); ++i) {
    constexpr const char* kNames[] = { "load", "backend", "router" };
    std::printf(
      "  %s %.1f us", kNames[i], (CpuUs(aIds[i]) - aBefore[i]) / aRequests);
  }
  std::printf("  of a core for each request\n");
}

void Print(const char* aName, const Result& aResult)
{
  std::printf("%-22s %8.0f/s  p50 %7.0f us  p99 %7.0f us  failures %ld\n",
              aName,
              aResult.rate_,
              aResult.p50Us_,
              aResult.p99Us_,
              static_cast<long>(aResult.failures_));
  std::fflush(stdout);
}

int Run()
{
  const pid_t backend = StartProcess(&RunBackend);
  const pid_t router = StartProcess(&RunRouter);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  int status = EXIT_FAILURE;
  if (Grant()) {
    const std::vector<pid_t> ids = { getpid(), backend, router };
    const auto measure = [&](const char* aName, const char* aAddress) {
      std::vector<double> before;
      std::ranges::transform(ids, std::back_inserter(before), &CpuUs);
      const auto result = Load(aAddress, 0);
      Print(aName, result);
      PrintCpu(ids, before, result.rate_ * kRunMs / 1000);
      return result;
    };
    const auto direct = measure("direct", kBackend);
    const auto routed = measure("through the router", kRouter);
    std::printf("rate: %.2f of direct\n", routed.rate_ / direct.rate_);
    const double half = routed.rate_ / 2;
    const auto directHalf = Load(kBackend, half);
    Print("direct, half load", directHalf);
    const auto routedHalf = Load(kRouter, half);
    Print("router, half load", routedHalf);
    std::printf("added: p50 %.0f us, p99 %.0f us\n",
                routedHalf.p50Us_ - directHalf.p50Us_,
                routedHalf.p99Us_ - directHalf.p99Us_);
    MeasureMemory(router);
    status = EXIT_SUCCESS;
  }
  for (const pid_t child : { backend, router }) {
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  return status;
}

}
}

int main()
{
  return cactuspitch::Run();
}
