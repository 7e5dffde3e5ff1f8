#include "endpoint/served_name.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::endpoint;

TEST_CASE("Served names survive a round trip and other text is rejected") {
  for (const char* name :
       {"jarro/notes@3", "jarro/notes:recife@3", "a/b:c@v1.2"}) {
    CHECK(ServedName(ParseServedName(name)) == name);
  }
  for (const char* name : {"", "notes", "notes@3", "jarro/@3", "/notes@3",
                           "jarro/notes", "jarro/notes@"}) {
    CHECK_THROWS_AS(ParseServedName(name), Error);
  }
}
