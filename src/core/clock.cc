#include "figcleat/core/clock.h"

#include <ctime>

namespace figcleat
{

time_point system_clock::now() const
{
    timespec time {};
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return std::chrono::steady_clock::now();
    }
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

wall_time system_clock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace figcleat
