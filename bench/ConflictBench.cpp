// 16 operators race 1,000 changes of the configuration over two admin processes
// and a store that fails and loses answers at random. One admin process is
// killed half way. Every accepted change must be in the history exactly once,
// at the version that was reported, and none may be reverted.

#include "bench/Measurement.hpp"
#include "common/Strings.hpp"
#include "config/FleetDocument.hpp"
#include "ctl/ApiClient.hpp"
#include "tests/ProcessFleet.hpp"
#include "tests/ReservedPort.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

namespace cactuspitch {
namespace {

constexpr int kOperators = 16;
constexpr int kChanges = 1000;
constexpr int kAdmins = 2;
constexpr TimeMs kLimitMs = 50000;
constexpr TimeMs kStartMs = 5000;
constexpr char kFaults[] = R"({"failRate":0.05,"loseAnswerRate":0.1,"seed":7})";

class Conflict
{
public:
  Conflict()
    : fleet_(BINARY_DIR)
  {
  }

  int Run()
  {
    if (!Start()) {
      return ReportFailure("conflict", "the processes did not start");
    }
    const TimeMs startMs = clock_.NowMs();
    endMs_ = startMs + kLimitMs;
    std::thread observer([this] { Observe(); });
    std::vector<std::thread> operators;
    for (int i = 0; i < kOperators; ++i) {
      operators.emplace_back([this, i] { Operate(i); });
    }
    WaitFor(kLimitMs, [this] { return Accepted() >= kChanges / 2; });
    fleet_.Kill("admin-1");
    LaunchAdmin(1);
    for (auto& thread : operators) {
      thread.join();
    }
    done_ = true;
    observer.join();
    std::printf("accepted %zu of %d in %.1f s, conflicts %d, sent again %d\n",
                Accepted(),
                kChanges,
                static_cast<double>(clock_.NowMs() - startMs) / 1000,
                conflicts_.load(),
                repeats_.load());
    HttpCall("POST",
             store_.Address(),
             "/_fault",
             R"({"failRate":0,"loseAnswerRate":0})");
    Read();
    return ReportAtMost("conflict", Violations(), "violations", 0);
  }

private:
  void LaunchAdmin(int aIndex)
  {
    fleet_.Launch(Concat("admin-", aIndex),
                  "cactuspitch-admin",
                  { "--instance",
                    Concat("i", aIndex),
                    "--failure-domain",
                    "giza-a",
                    "--listen",
                    admins_[aIndex].Address(),
                    "--store",
                    store_.Address(),
                    "--assigners",
                    none_.Address() });
  }

  bool Start()
  {
    fleet_.Launch("store", "standin-store", { "--listen", store_.Address() });
    for (int i = 0; i < kAdmins; ++i) {
      LaunchAdmin(i);
    }
    const auto isUp = [this](const std::string& aAddress) {
      return WaitFor(kStartMs, [&] {
        return HttpCall("GET", aAddress, "/_health").has_value();
      });
    };
    return isUp(store_.Address()) && isUp(admins_[0].Address()) &&
           isUp(admins_[1].Address()) &&
           HttpCall("POST", store_.Address(), "/_fault", kFaults).has_value();
  }

  size_t Accepted()
  {
    const std::lock_guard lock(mutex_);
    return accepted_.size();
  }

  /// Replaces its own exception again and again.
  void Operate(int aIndex)
  {
    const int count = kChanges / kOperators + (aIndex < kChanges % kOperators);
    int64_t base = 0;
    for (int change = 0; change < count && clock_.NowMs() < endMs_;) {
      const auto id = Concat("op", aIndex, "-", change);
      const ApiClient client(
        clock_, { admins_[random_++ % kAdmins].Address(), "", 10000 });
      const auto answer =
        client.Post("/v1/changes", MakeChange(aIndex, change, id, base));
      if (!answer.ok() || answer->status_ >= 500) {
        ++repeats_;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      const auto version = answer->body_.value("version", int64_t{ 0 });
      base = std::max(base, version);
      if (answer->status_ == 409) {
        ++conflicts_;
        continue;
      }
      const std::lock_guard lock(mutex_);
      if (answer->status_ != 200) {
        std::printf("%s: %s", id.c_str(), answer->text_.c_str());
        ++refused_;
      } else if (!accepted_.emplace(version, id).second) {
        ++refused_;
      }
      ++change;
    }
  }

  static nlohmann::json MakeChange(int aIndex,
                                   int aChange,
                                   const std::string& aId,
                                   int64_t aBase)
  {
    nlohmann::json change = {
      { "baseVersion", aBase },
      { "id", aId },
      { "author", Concat("operator ", aIndex) },
      { "reason", "race" },
      { "add",
        { { { "id", aId },
            { "scope", { { "service", Concat("s", aIndex) } } },
            { "field", "queueLimit" },
            { "value", aChange },
            { "reason", "race" } } } }
    };
    if (aChange > 0) {
      change["retire"] = { Concat("op", aIndex, "-", aChange - 1) };
    }
    return change;
  }

  void Observe()
  {
    while (!done_) {
      Read();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  /// Collects the history from the store itself. A version that falls back,
  /// or a record that changes, is a violation.
  void Read()
  {
    const auto text =
      HttpCall("GET", store_.Address(), "/objects/config/fleet");
    Findings findings;
    const auto document =
      text ? ParseFleetDocument(*text, findings) : std::nullopt;
    if (!document) {
      return;
    }
    if (document->version_ < newest_.version_) {
      ++reverted_;
    }
    for (const auto& record : document->changes_) {
      const auto [found, added] = history_.emplace(record.version_, record.id_);
      reverted_ += !added && found->second != record.id_ ? 1 : 0;
    }
    newest_ = *document;
  }

  int Violations()
  {
    int violations = refused_ + reverted_;
    // Missing ones are changes that were accepted and lost.
    violations += std::abs(kChanges - static_cast<int>(accepted_.size()));
    violations += history_ == accepted_ ? 0 : 1;
    violations += newest_.version_ == kChanges ? 0 : 1;
    violations +=
      newest_.exceptions_.size() == static_cast<size_t>(kOperators) ? 0 : 1;
    for (int i = 0; i < kOperators; ++i) {
      const int last = kChanges / kOperators + (i < kChanges % kOperators) - 1;
      violations += std::ranges::count(newest_.exceptions_,
                                       Concat("op", i, "-", last),
                                       &RuleException::id_) == 1
                      ? 0
                      : 1;
    }
    return violations;
  }

  SteadyClock clock_;
  ReservedPort store_;
  ReservedPort admins_[kAdmins];
  ReservedPort none_;
  ProcessFleet fleet_;
  TimeMs endMs_ = 0;
  std::atomic<unsigned> random_ = 0;
  std::atomic<int> conflicts_ = 0;
  std::atomic<int> repeats_ = 0;
  std::atomic<bool> done_ = false;
  std::mutex mutex_;
  std::map<int64_t, std::string> accepted_;
  int refused_ = 0;
  /// Used by the observer, and by the main thread after it has ended.
  std::map<int64_t, std::string> history_;
  FleetDocument newest_;
  int reverted_ = 0;
};

}
}

int main()
{
  return cactuspitch::Conflict().Run();
}
