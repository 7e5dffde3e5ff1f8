// Fuzzes the parser of operators' documents: any text is parsed or rejected
// with kInvalidDocument.

#include <cstdlib>

#include "base/error.h"
#include "documents/parse_document.h"
#include "fuzz_target.h"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace hickoryloft;
  try {
    documents::ParseDocument(ServiceId("s"), InputText(data, size), "input");
  } catch (const Error& error) {
    if (error.code() != ErrorCode::kInvalidDocument) {
      std::abort();
    }
  }
  return 0;
}
