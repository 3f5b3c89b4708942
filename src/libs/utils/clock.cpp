#include "utils/clock.h"

#include <ctime>

namespace camphorsaddle::utils {

time_point nowIncludingSuspend()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<time_point::duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace camphorsaddle::utils
