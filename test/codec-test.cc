#include "figcleat/agreed/commands.h"
#include "figcleat/wire/codec.h"

#include <catch2/catch.hpp>

using namespace figcleat;

// Guards against a command that changes on its way through the log.
TEST_CASE("a command survives encoding", "[wire]")
{
    const agreed::command sent
        = agreed::record_usage { { 7 }, 3, { { { "clinics" }, { "assistant-models" }, { 1 }, { 20 }, { 300 } } } };
    const auto received = decode<agreed::command>(encode(sent));
    REQUIRE(received.has_value());
    const auto &batch = std::get<agreed::record_usage>(*received);
    CHECK(batch.entry == incarnation_id { 7 });
    REQUIRE(batch.rows.size() == 1);
    CHECK(batch.rows[0].generatedTokens == token_count { 300 });
}

// Guards against a crash or a wrong type from bytes that another program sent.
TEST_CASE("bytes that are no command are refused", "[wire]")
{
    const std::string valid = encode(agreed::command { agreed::set_data_centre { { "okahandja" }, false } });
    CHECK_FALSE(decode<agreed::command>("").has_value());
    CHECK_FALSE(decode<agreed::command>(valid.substr(0, valid.size() - 1)).has_value());
    CHECK_FALSE(decode<agreed::command>(valid + "x").has_value());
    CHECK_FALSE(decode<agreed::command>(encode(std::make_tuple(99, 1))).has_value());
    CHECK_FALSE(decode<agreed::command>(std::string(maxMessageBytes + 1, 'a')).has_value());
}
