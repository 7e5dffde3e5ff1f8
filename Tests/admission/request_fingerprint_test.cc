#include "admission/request_fingerprint.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace hickoryloft::admission;

TEST_CASE("All attempts of a caller's request have one fingerprint") {
  const std::string fingerprint = FingerprintOf("shop", "/look/1", "body");
  CHECK(FingerprintOf("shop", "/look/1", "body") == fingerprint);
  CHECK(IsFingerprint(fingerprint));
  CHECK_FALSE(IsFingerprint("5c1e07a2"));
}

TEST_CASE("Requests of another caller, target or body differ") {
  const std::set<std::string> fingerprints = {
      FingerprintOf("shop", "/look/1", "body"),
      FingerprintOf("shop2", "/look/1", "body"),
      FingerprintOf("shop", "/look/2", "body"),
      FingerprintOf("shop", "/look/1", "body2"),
      FingerprintOf("shop", "/look/1", ""),
      FingerprintOf("shop/", "look/1", "body"),
      FingerprintOf("shop", "/look/", "1body"),
      FingerprintOf("", "shop/look/1", "body")};
  CHECK(fingerprints.size() == 8);
}
