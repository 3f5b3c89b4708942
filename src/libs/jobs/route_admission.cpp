#include "jobs/route_admission.h"

namespace camphorsaddle::jobs {

route_admission admitRoute(const route_admission_settings& settings, const route_request& request, utils::time_point now)
{
    const bool isConfirmed = now <= request.rulesConfirmedAt + settings.maximumRulesAge;
    if (isConfirmed)
        return request.isQueueKnown ? route_admission::Serve : route_admission::UnknownQueue;
    if (!request.isStoreFailing && now < request.arrivedAt + settings.confirmationTimeout)
        return route_admission::AwaitConfirmation;
    return request.isQueueKnown ? route_admission::Serve : route_admission::Unconfirmed;
}

} // namespace camphorsaddle::jobs
