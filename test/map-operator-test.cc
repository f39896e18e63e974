#include "figcleat/consensus/raft.h"
#include "figcleat/daemon/map-operator.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace std::chrono_literals;

namespace
{

class manual_clock : public clock
{
public:
    [[nodiscard]] time_point now() const override
    {
        return m_now;
    }
    [[nodiscard]] wall_time wallNow() const override
    {
        return {};
    }
    void advance(duration by)
    {
        m_now += by;
    }

private:
    time_point m_now { 100s };
};

} // namespace

TEST_CASE("a new leader orders at once when every voter follows it", "[map]")
{
    // Guards against streams that are late for seconds after each crash of a leader, and against two that order.
    manual_clock time;
    map_operator::parts wiring;
    wiring.time = &time;
    map_operator subject(wiring);
    CHECK_FALSE(subject.mayOrder());
    subject.setTerm(3, false);
    CHECK_FALSE(subject.mayOrder());
    subject.setTerm(3, true);
    CHECK(subject.mayOrder());
    // A voter that joins later has never led.
    subject.setTerm(3, false);
    CHECK(subject.mayOrder());
    subject.setTerm(std::nullopt, false);
    CHECK_FALSE(subject.mayOrder());
}

TEST_CASE("a new leader that a voter has not answered waits until its predecessor has stepped down", "[map]")
{
    manual_clock time;
    map_operator::parts wiring;
    wiring.time = &time;
    map_operator subject(wiring);
    subject.setTerm(4, false);
    time.advance(consensus::quorumTimeout);
    CHECK_FALSE(subject.mayOrder());
    time.advance(200ms);
    CHECK(subject.mayOrder());
}
