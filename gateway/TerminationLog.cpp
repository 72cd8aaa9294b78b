#include "gateway/TerminationLog.hpp"

#include <cstdlib>
#include <string>

namespace cactuspitch {

namespace detail {

/// A terminate handler has no argument.
EventLog* terminationLog = nullptr;

std::string DescribeException(const std::exception_ptr& aException)
{
  if (aException == nullptr) {
    return "no exception";
  }
  try {
    std::rethrow_exception(aException);
  } catch (const std::exception& failure) {
    return failure.what();
  } catch (...) {
    return "an exception of unknown type";
  }
}

}

TerminationLog::TerminationLog(EventLog& aLog)
{
  detail::terminationLog = &aLog;
  previous_ = std::set_terminate(&TerminationLog::OnTerminate);
}

TerminationLog::~TerminationLog()
{
  std::set_terminate(previous_);
  detail::terminationLog = nullptr;
}

void TerminationLog::OnTerminate()
{
  if (detail::terminationLog != nullptr) {
    detail::terminationLog->Write(
      LogLevel::Error,
      "gateway-terminated",
      { { "cause", detail::DescribeException(std::current_exception()) } });
  }
  std::abort();
}

}
