#include "keyvalue/base64.h"

#include <catch2/catch.hpp>

#include "base/error.h"

using namespace hickoryloft;
using namespace hickoryloft::keyvalue;

TEST_CASE("Base64 round-trips bytes of every length and value") {
  std::string bytes;
  for (int i = 0; i < 600; ++i) {
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
    bytes.push_back(static_cast<char>(i * 37));
  }
  CHECK(EncodeBase64("foob") == "Zm9vYg==");
}

TEST_CASE("Text that is not base64 is rejected") {
  for (const char* text : {"a", "abc", "a?b=", "====!"}) {
    CHECK_THROWS_AS(DecodeBase64(text), Error);
  }
}
