#include "figcleat/forward/waiting-queue.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::forward;

namespace
{

const service_id models { "models" };

waiting_request makeRequest(std::uint64_t exchange, std::uint32_t urgency, bool awaitsOutageEnd = false)
{
    return { { exchange }, models, urgency, awaitsOutageEnd };
}

} // namespace

TEST_CASE("urgent requests come first, then those that have waited for longest", "[forward]")
{
    // Guards against a burst of the least urgent kind that keeps urgent requests waiting.
    waiting_queue queue;
    queue.add(makeRequest(1, 2));
    queue.add(makeRequest(2, 0, true));
    queue.add(makeRequest(3, 0));
    queue.add(makeRequest(4, 2));
    queue.add(makeRequest(5, 0));
    queue.add(makeRequest(3, 0));
    CHECK(queue.inOrder() == std::vector<exchange_id> { { 3 }, { 5 }, { 2 }, { 1 }, { 4 } });
    REQUIRE(queue.last(models).has_value());
    CHECK(queue.last(models)->exchange == exchange_id { 4 });
    CHECK(queue.countAhead(models, 0) == 2);
    CHECK(queue.countAhead(models, 2) == 4);
    CHECK(queue.size(models) == 5);
    queue.remove({ 3 });
    queue.remove({ 3 });
    CHECK(queue.size(models) == 4);
    CHECK(queue.size({ "desk" }) == 0);
    CHECK_FALSE(queue.last({ "desk" }).has_value());
}
