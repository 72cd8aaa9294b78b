#include "tests/ScriptedServer.hpp"

#include "common/Strings.hpp"
#include "tests/ReservedPort.hpp"

#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

namespace cactuspitch {

namespace {

constexpr size_t kMaxHeadBytes = 65536;
constexpr int kBadRequest = 400;
constexpr TimeMs kPollMs = 2;
constexpr TimeMs kWaitTimeoutMs = 5000;

}

Endpoint FreeEndpoint()
{
  // Reserved until the test program ends.
  static std::vector<ReservedPort> ports;
  ports.emplace_back();
  Endpoint endpoint;
  Endpoint::Parse(ports.back().Address(), endpoint);
  return endpoint;
}

class ScriptedServer::Connection final : public StreamHandler
{
public:
  explicit Connection(ScriptedServer& aServer)
    : server_(aServer)
    , stream_(aServer.loop_, *this)
    , parser_(HttpMessageType::Request, kMaxHeadBytes)
  {
  }
  void Start(int aFd) { stream_.Adopt(aFd); }
  void Reset() { stream_.Abort(); }

private:
  void OnInput() override
  {
    auto state = ParseState::NeedInput;
    while (stream_.IsOpen() &&
           (state = parser_.Parse(stream_.Input(), body_)) ==
             ParseState::Done) {
      Exchange exchange;
      exchange.server_ = &server_;
      exchange.head_ = parser_.Head();
      exchange.body_ = std::move(body_);
      body_.clear();
      parser_ = HttpParser(HttpMessageType::Request, kMaxHeadBytes);
      exchange.write_ = [this](std::string_view aBytes) {
        stream_.Write(aBytes);
      };
      exchange.close_ = [this] { stream_.Close(); };
      exchange.reset_ = [this] { stream_.Abort(); };
      exchange.requestsBefore_ = requests_++;
      ++server_.requests_;
      server_.script_(exchange);
    }
    if (state == ParseState::Failed && stream_.IsOpen()) {
      stream_.Write(TextResponse(kBadRequest, {}));
      stream_.Close();
    }
  }
  void OnStreamClosed(CloseReason) override { ++server_.closedByClient_; }

  ScriptedServer& server_;
  TcpStream stream_;
  HttpParser parser_;
  int requests_ = 0; ///< received on this connection
  std::string body_;
};

ScriptedServer::ScriptedServer(EventLoop& aLoop, Script aScript)
  : loop_(aLoop)
  , script_(std::move(aScript))
  , listener_(aLoop,
              [this](int aFd) {
                connections_.push_back(std::make_shared<Connection>(*this));
                connections_.back()->Start(aFd);
                ++accepted_;
                if (full_) {
                  connections_.back()->Reset();
                }
              })
  , address_(FreeEndpoint())
{
  if (!listener_.Listen(address_)) {
    throw std::runtime_error("cannot listen on the reserved port");
  }
}

ScriptedServer::~ScriptedServer() = default;

void ScriptedServer::Crash()
{
  listener_.Close();
  for (const auto& connection : connections_) {
    connection->Reset();
  }
}

void ScriptedServer::Restart()
{
  // A process that is just being started holds a copy of the closed listener
  // until it executes its program.
  constexpr int kAttempts = 50;
  constexpr std::chrono::milliseconds kPause{ 20 };
  bool listens = listener_.Listen(address_);
  for (int attempt = 1; !listens && attempt < kAttempts; ++attempt) {
    listener_.Close();
    std::this_thread::sleep_for(kPause);
    listens = listener_.Listen(address_);
  }
  if (!listens) {
    throw std::runtime_error("cannot listen on the reserved port again");
  }
}

std::string TextResponse(int aStatus, std::string_view aBody)
{
  return Concat("HTTP/1.1 ",
                aStatus,
                " X\r\nContent-Length: ",
                aBody.size(),
                "\r\n\r\n",
                aBody);
}

void RunLoopFor(EventLoop& aLoop, TimeMs aMs)
{
  Timer timer(aLoop, [&] { aLoop.Stop(); });
  timer.Start(aMs);
  aLoop.Run();
}

bool RunLoopUntil(EventLoop& aLoop, const std::function<bool()>& aDone)
{
  const TimeMs endMs = SteadyClock().NowMs() + kWaitTimeoutMs;
  bool done = false;
  std::function<void()> poll;
  Timer timer(aLoop, [&] { poll(); });
  poll = [&] {
    done = aDone();
    if (done || SteadyClock().NowMs() > endMs) {
      aLoop.Stop();
    } else {
      timer.Start(kPollMs);
    }
  };
  timer.Start(0);
  aLoop.Run();
  return done;
}

}
