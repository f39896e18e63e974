#pragma once

#include <chrono>

namespace figcleat
{

/** Monotonic time, for every deadline and timeout. */
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using duration = std::chrono::nanoseconds;
/** Wall time, for records that operators read and for the life of claims. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Source of time; tests pass one that they move by hand. */
class clock
{
public:
    virtual ~clock() = default;
    [[nodiscard]] virtual time_point now() const = 0;
    [[nodiscard]] virtual wall_time wallNow() const = 0;
};

/** Counts the time for which the VM was suspended, so that a lease has expired when it wakes. */
class system_clock : public clock
{
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] wall_time wallNow() const override;
};

} // namespace figcleat
