#include "figcleat/core/digest.h"

#include <catch2/catch.hpp>

using namespace figcleat;

// Guards against a digest that does not match the one that operators compute with other tools.
TEST_CASE("sha256 matches the published test vector", "[core]")
{
    CHECK(toHex(sha256("abc")) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(parseDigest(toHex(sha256("abc"))) == sha256("abc"));
}

// Guards against accepting a credential digest that is cut or not hexadecimal.
TEST_CASE("a malformed digest is refused", "[core]")
{
    CHECK_FALSE(parseDigest("ba78").has_value());
    CHECK_FALSE(parseDigest(std::string(64, 'g')).has_value());
}
