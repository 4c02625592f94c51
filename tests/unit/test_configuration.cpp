#include "version/configuration.h"
#include "version/plan.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace eelgrassnotch;
using namespace eelgrassnotch::version;

namespace
{

const std::string document = R"({
  "dataCentres": [{"name": "auckland", "region": "north"}],
  "workspaces": [{"name": "counter", "share": 2}],
  "services": [{"name": "ledger", "kind": "plain", "nonIdempotentPaths": ["/orders"],
                "backendServers": [{"name": "ledger-1", "address": "127.0.0.1", "port": 1, "dataCentre": "auckland"}]}]})";

std::string pointerOfError(const std::string &text)
{
    try {
        parseConfiguration(text);
    } catch (const ConfigurationError &error) {
        return error.pointer();
    }
    return "none";
}

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = document;
    text.replace(text.find(from), from.size(), to);
    return text;
}

}

TEST_CASE("a configuration comes back from its document as an equal value")
{
    const Configuration configuration = parseConfiguration(document);
    CHECK(parseConfiguration(toJson(configuration)) == configuration);
    const Service &service = configuration.services.begin()->second;
    CHECK_FALSE(service.isIdempotent("/orders/7"));
    CHECK(service.isIdempotent("/stock"));
}

TEST_CASE("errors name the value at fault")
{
    CHECK(pointerOfError(document) == "none");
    CHECK(pointerOfError(replaced("\"share\": 2", "\"share\": 0")) == "/workspaces/0/share");
    CHECK(pointerOfError(replaced("\"port\": 1", "\"port\": \"x\"")) == "/services/0/backendServers/0/port");
    CHECK(pointerOfError(replaced("\"kind\": \"plain\"", "\"kind\": \"odd\"")) == "/services/0/kind");
    CHECK(pointerOfError(replaced("127.0.0.1", "host.example")) == "/services/0/backendServers/0/address");
    CHECK(pointerOfError(replaced("\"region\": \"north\"", "\"regoin\": \"north\"")) == "/dataCentres/0/regoin");
    CHECK(pointerOfError("not json").empty());
}

TEST_CASE("a number out of range in a configuration's text ends the process")
{
    CHECK_THROWS_AS(parseConfiguration(std::string(R"({"version": 1e999})")), ConfigurationError);
}

TEST_CASE("a plan lists each difference with its effect, and comes back from its document")
{
    const Configuration before = parseConfiguration(document);
    Configuration after = before;
    after.dataCentres.begin()->second.takenOut = true;
    after.workspaces.clear();
    Plan plan;
    plan.basis = 7;
    plan.operation = "op";
    plan.changes = compare(before, after);
    plan.target = after;
    REQUIRE(plan.changes.size() == 2);
    CHECK(plan.changes[0]
          == Change {ChangeKind::Changed, "data centre auckland", "its backend servers get no new work, running requests end"});
    CHECK(plan.changes[1].kind == ChangeKind::Removed);
    CHECK(parsePlan(toJson(plan)) == plan);
    CHECK(compare(before, before).empty());
}
