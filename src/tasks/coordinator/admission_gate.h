#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "external/key_value_store.h"
#include "jobs/admission_forecast.h"
#include "tasks/coordinator/coordinator_messages.h"

namespace camphorsaddle::tasks {

//! \brief Refuses new jobs at a daemon that doesn't lead, by the last forecast of the leader.
//!
//! A refused job must never run. Jobs that this daemon has passed on before are left to the leader or the store, and of the others the
//! store is asked first.
class admission_gate {
public:
    using refuse_callback = std::function<void(const job_reply&)>;

    explicit admission_gate(external::key_value_store& store);

    //! \brief Replaces the forecast; nullopt if the leader has none.
    void setForecast(std::optional<jobs::published_forecast> forecast);
    //! \brief Calls \a proceed or \a refuse once, now or later. Passing the call on is recorded.
    void decide(const job_call& call, const jobs::deployment_rules* rules, bool hasLeader, utils::time_point now, std::function<void()> proceed, refuse_callback refuse);

    //! \brief Calls \a refuse once: with a refusal for \a reason if the job is neither stored nor on its way there, else with an unknown outcome.
    void refuseIfAbsent(const job_call& call, const std::string& reason, utils::milliseconds retryAfter, utils::time_point now, refuse_callback refuse);

    //! \brief Whether this daemon has passed the job on in the last minute.
    bool hasBeenTried(const std::string& id, utils::time_point now);

    //! \brief Records that this daemon passes the job on, in another way than by decide().
    void noteAttempt(const std::string& id, utils::time_point now);

private:
    external::key_value_store& m_store;
    std::optional<jobs::published_forecast> m_forecast;
    //! Jobs that were passed on, with the time of the last attempt, and the attempts in the order of their times.
    std::unordered_map<std::string, utils::time_point> m_triedJobs;
    std::deque<std::pair<utils::time_point, std::string>> m_attempts;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
