#include "../src/http/response-reader.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace figcleat;

namespace
{

struct outcome
{
    std::vector<int> statuses;
    http_headers headers;
    std::string body;
    response_part last = response_part::incomplete;
    std::size_t unread = 0;

    bool operator==(const outcome &) const = default;
};

/** Takes parts until more bytes are needed or nothing follows. */
void readAll(response_reader &reader, evbuffer *input, outcome &into)
{
    do {
        into.last = reader.read(input);
        if (into.last == response_part::head) {
            into.statuses.push_back(reader.status());
            into.headers = reader.headers();
        } else if (into.last == response_part::bytes) {
            into.body += reader.bytes();
        }
    } while (into.last == response_part::head || into.last == response_part::bytes);
}

/** What a reader makes of an answer that arrives in pieces of up to `most` bytes. */
outcome outcomeOf(const std::string &answer, std::size_t most, std::mt19937_64 &random)
{
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> input(evbuffer_new(), evbuffer_free);
    response_reader reader(false, std::numeric_limits<std::uint64_t>::max());
    outcome result;
    std::uniform_int_distribution<std::size_t> sizes(1, most);
    for (std::size_t at = 0; at < answer.size() && result.last == response_part::incomplete;) {
        const auto piece = std::string_view(answer).substr(at, sizes(random));
        evbuffer_add(input.get(), piece.data(), piece.size());
        at += piece.size();
        readAll(reader, input.get(), result);
        result.unread = evbuffer_get_length(input.get()) + answer.size() - at;
    }
    if (result.last == response_part::unusable) {
        // Where the rest was cut does not matter.
        result.unread = 0;
    }
    return result;
}

std::string mutated(std::string answer, std::mt19937_64 &random)
{
    constexpr std::string_view alphabet = "\r\n \t:;,0159afAF\x7f\xff"
                                          "HTTP/.";
    const auto below
        = [&random](std::size_t limit) { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random); };
    for (std::size_t changes = below(4); changes > 0 && !answer.empty(); --changes) {
        const std::size_t at = below(answer.size());
        switch (below(4)) {
        case 0:
            answer[at] = alphabet[below(alphabet.size())];
            break;
        case 1:
            answer.insert(at, 1, alphabet[below(alphabet.size())]);
            break;
        case 2:
            answer.erase(at, 1 + below(3));
            break;
        default:
            answer.insert(at, answer.substr(below(answer.size()), below(20)));
            break;
        }
    }
    return answer;
}

} // namespace

TEST_CASE("a damaged answer means the same in whatever pieces it arrives", "[http-client]")
{
    // Guards against bytes that a target's answer gains or loses where two reads meet, and against reads out of bounds.
    const std::vector<std::string> answers {
        "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 12\r\n\r\nok, and more",
        "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
        "1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3;a=b\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n0001\r\na\r\n000\r\nX-End: 1\r\nX-Id: 2\r\n\r\n",
        "HTTP/1.0 200 OK\r\nServer: a\r\n  b\r\n\r\nto the end",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 599 OK\r\nContent-Length: 2\r\n\r\nok",
    };
    constexpr std::uint64_t seed = 23;
    constexpr int rounds = 4000;
    std::mt19937_64 random(seed);
    for (int round = 0; round < rounds; ++round) {
        const auto answer = mutated(answers[static_cast<std::size_t>(round) % answers.size()], random);
        INFO("seed " << seed << " round " << round << ": " << answer);
        const auto whole = outcomeOf(answer, std::numeric_limits<std::size_t>::max() / 2, random);
        REQUIRE(outcomeOf(answer, 1, random) == whole);
        REQUIRE(outcomeOf(answer, 20, random) == whole);
    }
}

namespace
{

outcome outcomeOf(const std::string &answer, std::mt19937_64 &random)
{
    constexpr std::size_t mostBytes = 9;
    return outcomeOf(answer, mostBytes, random);
}

} // namespace

TEST_CASE("a status that no answer has makes the answer unusable", "[http-client]")
{
    // Guards against a caller that gets such a status, and against an answer that is taken from the bytes behind it.
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::mt19937_64 random(1);
    for (const std::string status : { "000", "001", "099", "101", "600", "700", "999", "2000", "0200", "20", "2", "abc",
                                      "20x", "-20", "+200", "", "1e2", "0x1" }) {
        for (const std::string before : { "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n" }) {
            for (const std::string reason : { " OK", " ", "" }) {
                for (const std::string fields : { "", "Content-Length: 2\r\n", "Upgrade: h2c\r\n" }) {
                    const std::string answer
                        = before + "HTTP/1.1 " + status + reason + "\r\n" + fields + "\r\n" + sound;
                    INFO(answer);
                    const auto result = outcomeOf(answer, random);
                    CHECK(result.statuses.empty());
                    CHECK(result.last == response_part::unusable);
                }
            }
        }
    }
}

TEST_CASE("every status of HTTP is read", "[http-client]")
{
    // Guards against a check of statuses that refuses those that HTTP has or may get.
    constexpr int firstInterim = 100;
    constexpr int switchingProtocols = 101;
    constexpr int firstFinal = 200;
    constexpr int lastFinal = 599;
    const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::mt19937_64 random(1);
    for (int status = firstInterim; status <= lastFinal; ++status) {
        INFO(status);
        const std::string line = "HTTP/1.1 " + std::to_string(status) + " A\r\n";
        if (status >= firstFinal) {
            CHECK(outcomeOf(line + "Content-Length: 0\r\n\r\n", random).statuses == std::vector { status });
        } else if (status != switchingProtocols) {
            const auto result = outcomeOf(line + "Link: a\r\n\r\n" + sound, random);
            CHECK(result.statuses == std::vector { firstFinal });
            CHECK(result.body == "ok");
        }
    }
}
