#include "Log.hpp"

#include "Strings.hpp"

#include <iostream>

#include <absl/strings/escaping.h>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

namespace cactuspitch {

namespace detail {

using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

Logger& GlobalLogger()
{
  static Logger logger;
  return logger;
}

std::string& ProgramName()
{
  static std::string name;
  return name;
}

}

void InitLog(std::string_view aProgram, LogLevel aMinimum)
{
  namespace logging = boost::log;
  namespace expr = boost::log::expressions;
  using Backend = logging::sinks::text_ostream_backend;
  using Sink = logging::sinks::synchronous_sink<Backend>;

  detail::ProgramName() = aProgram;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(expr::stream
                      << expr::format_date_time<boost::posix_time::ptime>(
                           "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                      << " " << expr::smessage);
  auto core = logging::core::get();
  core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
  core->add_sink(sink);
  core->set_filter(expr::attr<LogLevel>("Severity") >= aMinimum);
}

void Log(LogLevel aLevel,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields)
{
  auto& logger = detail::GlobalLogger();
  boost::log::record record =
    logger.open_record(boost::log::keywords::severity = aLevel);
  if (!record) {
    return;
  }
  auto line = Concat("level=",
                     EnumName(aLevel),
                     " program=",
                     detail::ProgramName(),
                     " event=\"",
                     absl::CEscape(ToAbsl(aEvent)),
                     "\"");
  for (const auto& field : aFields) {
    AppendTo(line, " ", field.name_, "=\"", absl::CEscape(field.value_), "\"");
  }
  boost::log::record_ostream stream(record);
  stream << line;
  stream.flush();
  logger.push_record(boost::move(record));
}

}
