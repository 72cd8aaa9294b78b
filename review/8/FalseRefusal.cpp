// Some servers run a part of their requests and then fail with 503 without the
// field that promises that the request has not run. Checks that no
// non-idempotent request that has run is answered with such a promise.

#include "review/standins-2/Testbed.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace {

using namespace review;

constexpr size_t kGateways = 4;
constexpr size_t kWorkers = 9;
constexpr size_t kGreyWorkers = 1; ///< of 9: within a share of 0.14
constexpr uint32_t kGreyPercent = 45;
constexpr size_t kCallers = 20;
constexpr Millis kRunMs = 20000;
constexpr Millis kDeadlineMs = 600;
constexpr uint32_t kPercent = 100;

/// Runs of a request by all servers.
int RunsOf(const std::vector<std::map<std::string, int>>& aRuns,
           const std::string& aId)
{
  int runs = 0;
  for (const auto& byId : aRuns) {
    const auto found = byId.find(aId);
    runs += found == byId.end() ? 0 : found->second;
  }
  return runs;
}

struct Attempt
{
  std::string id_;
  int booking_;
  int status_;
};

class Journal
{
public:
  void Add(const Attempt& aAttempt)
  {
    const std::lock_guard lock(mutex_);
    attempts_.push_back(aAttempt);
  }
  std::vector<Attempt> All()
  {
    const std::lock_guard lock(mutex_);
    return attempts_;
  }

private:
  std::mutex mutex_;
  std::vector<Attempt> attempts_;
};

bool IsPromise(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

/// Sends one attempt and returns its status; 0: none.
int Send(Record& aRecord,
         Journal& aJournal,
         const Gateway& aGateway,
         int aBooking,
         Millis aLeftMs)
{
  const auto id = NewRequestId();
  Message answer;
  int status = 0;
  if (const auto socket = Socket::Connect(aGateway.Port())) {
    socket->Write(RequestText("POST",
                              "/booking/" + std::to_string(aBooking),
                              id,
                              aLeftMs,
                              "Content-Type: text/plain\r\n",
                              std::string(300, 'b')));
    if (socket->Read(answer, aLeftMs) == ReadResult::Complete) {
      status = answer.Status();
    }
  }
  aRecord.Line(
    "request " + id + " booking " + std::to_string(aBooking) + " -> " +
    std::to_string(status) +
    (answer.HasField("Cactuspitch-Response-Seal") ? " sealed" : "") +
    (answer.HasField("Cactuspitch-Not-Executed") ? " not executed" : ""));
  aJournal.Add({ id, aBooking, status });
  return status;
}

void RunCaller(Record& aRecord,
               Journal& aJournal,
               const std::vector<std::unique_ptr<Gateway>>& aGateways,
               std::atomic<int>& aBookings,
               const std::atomic<bool>& aDone)
{
  constexpr uint32_t kMaxPauseMs = 200;
  while (!aDone) {
    SleepMs(Draw(kMaxPauseMs));
    const int booking = ++aBookings;
    const Millis endMs = NowMs() + kDeadlineMs;
    const auto& first = *aGateways[Draw(kGateways)];
    const int status = Send(aRecord, aJournal, first, booking, endMs - NowMs());
    // A caller repeats an unsafe request once, after a promise.
    if (IsPromise(status) && endMs > NowMs()) {
      Send(aRecord,
           aJournal,
           *aGateways[Draw(kGateways)],
           booking,
           endMs - NowMs());
    }
  }
}

bool AnswerGrey(Worker& aWorker, Socket& aSocket, const Message& aRequest)
{
  if (Draw(kPercent) >= kGreyPercent) {
    return Worker::AnswerWell(aWorker, aSocket, aRequest);
  }
  return aSocket.Write(
    Response(503, aWorker.AnswerFields(aRequest), "storage unavailable\n"));
}

[[noreturn]] void Run(const std::string& aFolder)
{
  const bool trouble = HasTrouble();
  Record record("review/8/record.txt");
  record.Line(trouble ? "run with the disruption" : "run without disruption");
  Store store(record, kGateways, {});
  store.Put(
    "config",
    "main",
    Config(
      { { { "name", "hire-ledger" },
          { "health-path", "/health" },
          { "max-connections", 110 },
          { "protocol", "h1" },
          { "tls", false } } },
      { Route(
        "line-booking", "/booking/", "unsafe", "hire-ledger", 0.6, 0.25, 1) }));
  std::vector<std::unique_ptr<Worker>> workers;
  for (size_t index = 0; index < kWorkers; ++index) {
    Worker::Options options;
    options.id_ = "i-" + NewRequestId();
    options.service_ = "hire-ledger";
    options.zone_ = "hobart-wharf";
    options.workMs_ = 78;
    options.bodyBytes_ = 400;
    const bool grey = trouble && index < kGreyWorkers;
    workers.push_back(std::make_unique<Worker>(
      record, store, options, grey ? Worker::Answer(AnswerGrey) : nullptr));
    if (grey) {
      record.Line("worker " + options.id_ + " fails a part of its requests");
    }
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (size_t index = 0; index < kGateways; ++index) {
    gateways.push_back(
      std::make_unique<Gateway>(record,
                                "front-" + std::to_string(index),
                                "hobart-wharf",
                                store.Address(index),
                                SmallSite(),
                                aFolder));
  }
  const auto end = [&](int aResult) {
    gateways.clear();
    std::fflush(nullptr);
    std::_Exit(aResult);
  };
  constexpr Millis kStartMs = 8000;
  for (const auto& gateway : gateways) {
    if (!gateway->WaitUntilReady(kStartMs)) {
      record.Line("a gateway is not ready");
      end(2);
    }
  }
  Journal journal;
  std::atomic<int> bookings{ 0 };
  std::atomic<bool> done{ false };
  std::vector<std::thread> callers;
  for (size_t index = 0; index < kCallers; ++index) {
    callers.emplace_back(
      [&] { RunCaller(record, journal, gateways, bookings, done); });
  }
  SleepMs(kRunMs);
  done = true;
  for (auto& caller : callers) {
    caller.join();
  }
  std::vector<std::map<std::string, int>> runs;
  for (const auto& worker : workers) {
    runs.push_back(worker->Runs());
  }
  int broken = 0;
  int served = 0;
  std::map<int, int> runsOfBooking;
  for (const auto& attempt : journal.All()) {
    const int count = RunsOf(runs, attempt.id_);
    runsOfBooking[attempt.booking_] += count;
    served += attempt.status_ == 200 ? 1 : 0;
    if (IsPromise(attempt.status_) && count > 0) {
      ++broken;
      record.Line("REFUSED: request " + attempt.id_ + " of booking " +
                  std::to_string(attempt.booking_) + " was answered " +
                  std::to_string(attempt.status_) + " and has run");
    }
  }
  const auto twice = std::ranges::count_if(
    runsOfBooking, [](const auto& aEntry) { return aEntry.second > 1; });
  record.Line("served " + std::to_string(served) + ", refused but run " +
              std::to_string(broken) + ", bookings that ran twice " +
              std::to_string(twice));
  end(served == 0 ? 2 : broken > 0 ? 1 : 0);
  std::abort();
}

}

int main(int aArgc, char** aArgv)
{
  if (aArgc != 2) {
    std::fprintf(stderr, "usage: false-refusal FOLDER\n");
    return 2;
  }
  Run(aArgv[1]);
}
