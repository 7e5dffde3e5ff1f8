#include "entry/document_set.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "Tests/entry/entry_fixture.h"

using namespace hickoryloft;
using namespace hickoryloft::entry;

TEST_CASE("The newest revision wins regardless of the order of updates") {
  CHECK(rc::check([] {
    DocumentSet documents;
    Revision newest = 0;
    bool key_valid = false;
    for (int step = 0; step < 12; ++step) {
      wire::DocumentUpdateT update;
      update.service = "returns";
      update.revision = *rc::gen::inRange<Revision>(1, 20);
      const bool with_key = update.revision % 2 == 0;
      const bool removed = update.revision % 5 == 0;
      update.text = removed ? "" : DocumentText(with_key);
      const bool changed = documents.Apply(update);
      RC_ASSERT(changed == (update.revision > newest));
      if (changed) {
        newest = update.revision;
        key_valid = with_key && !removed;
      }
      const auto principal = documents.Authenticate(kKey);
      RC_ASSERT((principal != nullptr) == key_valid);
      RC_ASSERT(documents.revision() == newest);
    }
  }));
}

TEST_CASE("A principal outlives its document and is invalid without its key") {
  DocumentSet documents;
  wire::DocumentUpdateT update;
  update.service = "returns";
  update.revision = 1;
  update.text = DocumentText();
  REQUIRE(documents.Apply(update));
  const auto principal = documents.Authenticate(kKey);
  REQUIRE(principal != nullptr);
  CHECK(principal->m_id == ClientAccountId("returns/counter"));
  CHECK(documents.StillValid(*principal));
  update.revision = 2;
  update.text = "not = a = document";
  CHECK_FALSE(documents.Apply(update));
  CHECK(documents.StillValid(*principal));
  update.revision = 3;
  update.text = DocumentText(/*with_key=*/false);
  REQUIRE(documents.Apply(update));
  CHECK_FALSE(documents.StillValid(*principal));
  CHECK(principal->m_document->m_service == ServiceId("returns"));
  CHECK(documents.ApplySnapshot({}) == false);
  wire::DocumentSnapshotT empty;
  empty.revision = 4;
  CHECK(documents.ApplySnapshot(empty));
  CHECK(documents.documents().empty());
}
