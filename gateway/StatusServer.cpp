#include "gateway/StatusServer.hpp"

#include "common/Strings.hpp"

#include <utility>

namespace cactuspitch {

namespace detail {

constexpr size_t kMaxStatusHeadBytes = 8192;
/// The load balancer sends a health check every second; a connection that is
/// idle for longer than this is closed.
constexpr TimeMs kStatusIdleMs = 10000;

}

class StatusServer::Connection final : public StreamHandler
{
public:
  explicit Connection(StatusServer& aServer)
    : server_(aServer)
    , stream_(aServer.loop_, *this)
    , timer_(aServer.loop_, [this] { CloseAndRemove(); })
    , parser_(HttpMessageType::Request, detail::kMaxStatusHeadBytes)
  {
  }
  void Start(int aFd)
  {
    stream_.Adopt(aFd);
    timer_.Start(detail::kStatusIdleMs);
  }

private:
  void OnInput() override
  {
    std::string body;
    auto state = parser_.Parse(stream_.Input(), body);
    while (state == ParseState::Done) {
      const bool keepsAlive = parser_.Head().KeepsAlive();
      const auto page = server_.page_(parser_.Head().target_);
      stream_.Write(Concat("HTTP/1.1 ",
                           page.status_,
                           page.status_ == 200 ? " OK" : " Service Unavailable",
                           "\r\nContent-Type: text/plain\r\nContent-Length: ",
                           page.body_.size(),
                           keepsAlive ? "" : "\r\nConnection: close",
                           "\r\n\r\n",
                           page.body_));
      timer_.Start(detail::kStatusIdleMs);
      if (!keepsAlive) {
        stream_.ShutdownOutput();
        return;
      }
      parser_ =
        HttpParser(HttpMessageType::Request, detail::kMaxStatusHeadBytes);
      state = parser_.Parse(stream_.Input(), body);
    }
    if (state == ParseState::Failed) {
      CloseAndRemove();
    }
  }
  void OnStreamClosed(CloseReason) override { CloseAndRemove(); }
  void CloseAndRemove()
  {
    stream_.Close();
    const auto found = server_.connections_.find(this);
    if (found != server_.connections_.end()) {
      server_.loop_.Defer([self = std::move(found->second)] {});
      server_.connections_.erase(found);
    }
  }

  StatusServer& server_;
  TcpStream stream_;
  Timer timer_;
  HttpParser parser_;
};

StatusServer::StatusServer(EventLoop& aLoop, PageHandler aPage)
  : loop_(aLoop)
  , page_(std::move(aPage))
  , listener_(aLoop, [this](int aFd) {
    auto connection = std::make_shared<Connection>(*this);
    connections_[connection.get()] = connection;
    connection->Start(aFd);
  })
{
}

StatusServer::~StatusServer() = default;

bool StatusServer::Listen(const Endpoint& aEndpoint)
{
  return listener_.Listen(aEndpoint);
}

}
