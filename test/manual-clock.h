#pragma once

#include "figcleat/core/clock.h"

namespace figcleat
{

/** A clock that a test moves by hand. */
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
    time_point m_now { std::chrono::seconds(100) };
};

} // namespace figcleat
