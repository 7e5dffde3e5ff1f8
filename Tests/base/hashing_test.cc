#include "base/hashing.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;

TEST_CASE("A salted digest is the SHA-256 digest of salt and text") {
  CHECK(SaltedDigest("", "abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(SaltedDigest("a", "bc") == SaltedDigest("", "abc"));
}

TEST_CASE("Constant-time comparison agrees with equality") {
  CHECK(EqualInConstantTime("secret", "secret"));
  CHECK_FALSE(EqualInConstantTime("secret", "secreT"));
  CHECK_FALSE(EqualInConstantTime("secret", "secret1"));
}

TEST_CASE("Removing a candidate moves only the items that preferred it") {
  const std::vector<std::string> all = {"h1", "h2", "h3", "h4", "h5"};
  const std::vector<std::string> fewer = {"h1", "h2", "h4", "h5"};
  for (int i = 0; i < 200; ++i) {
    const std::string item = "item" + std::to_string(i);
    const std::string before = all[RendezvousOrder(item, all).front()];
    const std::string after = fewer[RendezvousOrder(item, fewer).front()];
    if (before != "h3") {
      CHECK(before == after);
    }
  }
}
