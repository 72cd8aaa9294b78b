#pragma once

#include "gateway/EventLog.hpp"

#include <exception>

namespace cactuspitch {

/// While it exists, an exception that nothing handles is logged as the last
/// event of the process. There is no handler in the event loop: the state that
/// a callback has half changed would stay in use.
class TerminationLog
{
public:
  explicit TerminationLog(EventLog& aLog);
  ~TerminationLog();
  TerminationLog(const TerminationLog&) = delete;
  TerminationLog& operator=(const TerminationLog&) = delete;

private:
  static void OnTerminate();

  std::terminate_handler previous_;
};

}
