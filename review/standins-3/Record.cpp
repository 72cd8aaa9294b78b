#include "Record.hpp"

#include <stdexcept>

namespace cactuspitch {

Record::Record(const Clock& aClock, const char* aPath)
  : clock_(aClock)
  , startMs_(aClock.NowMs())
  , file_(std::fopen(aPath, "w"))
{
  if (file_ == nullptr) {
    throw std::runtime_error("cannot write the record");
  }
}

Record::~Record()
{
  std::fclose(file_);
}

void Record::Line(std::string_view aText)
{
  std::fprintf(file_,
               "%7ld %.*s\n",
               static_cast<long>(ElapsedMs()),
               static_cast<int>(aText.size()),
               aText.data());
}

void Record::Finding(std::string_view aText)
{
  Line(aText);
  std::printf("%7ld %.*s\n",
              static_cast<long>(ElapsedMs()),
              static_cast<int>(aText.size()),
              aText.data());
  std::fflush(stdout);
}

}
