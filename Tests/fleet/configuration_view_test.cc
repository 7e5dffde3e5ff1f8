#include "fleet/configuration_view.h"

#include <catch2/catch.hpp>

using namespace hickoryloft;
using namespace hickoryloft::fleet;

namespace {

Configuration Sample() {
  Configuration configuration{.m_version = 3};
  const auto add = [&](const char* name, const char* prefix) {
    configuration.m_routes.push_back(
        {.m_name = name, .m_host = "Shop.example", .m_path_prefix = prefix});
  };
  add("root", "/");
  add("pay", "/pay/");
  add("pay-now", "/pay/now/");
  configuration.m_accounts.push_back(
      {.m_id = ClientAccountId("a"), .m_keys = {"k1", "k2"}});
  return configuration;
}

}  // namespace

TEST_CASE("The longest matching path prefix selects the route") {
  const ConfigurationView view(Sample());
  const auto name = [&](const char* path) {
    const Route* route = view.FindRoute("shop.example:80", path);
    return route == nullptr ? std::string("none") : route->m_name;
  };
  CHECK(name("/pay/now/x") == "pay-now");
  CHECK(name("/pay/now") == "pay");
  CHECK(name("/pay/") == "pay");
  CHECK(name("/payment") == "root");
  CHECK(name("/") == "root");
  CHECK(view.FindRoute("other.example", "/pay/") == nullptr);
  CHECK(view.FindRoute("shop.example", "") == nullptr);
}

TEST_CASE("A key belongs to one account, an unknown key to none") {
  const ConfigurationView view(Sample());
  REQUIRE(view.FindAccountByKey("k2") != nullptr);
  CHECK(view.FindAccountByKey("k2")->m_id.value() == "a");
  CHECK(view.FindAccountByKey("") == nullptr);
  CHECK(view.FindAccountByKey("k3") == nullptr);
}

TEST_CASE("Targets are picked by weight") {
  const Route route{.m_targets = {{ServiceId("a"), 90},
                                  {ServiceId("b"), 10},
                                  {ServiceId("c"), 0}}};
  CHECK(PickTarget(route, 0).value() == "a");
  CHECK(PickTarget(route, 0.89).value() == "a");
  CHECK(PickTarget(route, 0.91).value() == "b");
  CHECK(PickTarget(route, 0.9999).value() == "b");
}

// Guards against orders for adapters that do not exist: the name comes from a
// request and may hold any bytes.
TEST_CASE("Only the configured adapters of a model have names") {
  const ModelSpec model{.m_adapters = 12};
  for (const char* name : {"a1", "a9", "a10", "a12"}) {
    CHECK(model.HasAdapter(AdapterId(name)));
  }
  for (const char* name : {"", "a", "a0", "a01", "a13", "a-1", "a+1", "b1",
                           "a1 ", "a99999999999", "\xe9t\xe9", "a1/a2"}) {
    CHECK_FALSE(model.HasAdapter(AdapterId(name)));
  }
  CHECK_FALSE(ModelSpec{}.HasAdapter(AdapterId("a1")));
}
