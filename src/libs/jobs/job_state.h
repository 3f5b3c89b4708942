#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "external/run_control.h"
#include "jobs/interference.h"
#include "jobs/job.h"
#include "jobs/serving_arrangement.h"
#include "jobs/worker_trust.h"

namespace camphorsaddle::jobs {

struct job_state;
struct worker_state;

enum class run_phase {
    //! The order to start was sent and not answered yet.
    Starting,
    //! The order to start got no answer; it may still take effect.
    Uncertain,
    Running,
    //! An order to stop is to be given until the worker confirms the end.
    Stopping,
};

//! \brief A run that is charged to a worker until its end is known.
struct run_state {
    job_state* job = nullptr;
    unsigned step = 0;
    unsigned index = 0;
    std::uint64_t number = 0;
    image_number image = 0;
    worker_state* worker = nullptr;
    run_phase phase = run_phase::Starting;
    //! Begin of the present phase.
    utils::time_point since;
    //! When the worker confirmed that the run works.
    utils::time_point runningSince;
    std::string checkpoint;
    int percent = 0;
    //! Percent that the run had at its begin, by its checkpoint.
    int firstPercent = -1;
    utils::time_point percentChangedAt;
    std::int64_t load = 0;
    //! Share at which the run may work, percent.
    int pace = 100;
    //! Whether this leader knows the share; a former one may have set it.
    bool isPaceKnown = true;
    utils::time_point pacedAt;
    bool isPacing = false;
    //! When a better place was looked for last.
    utils::time_point placeSoughtAt;
    //! Last sample of a task that serves.
    serving_sample serving;
    //! Last order to stop, when one is given.
    utils::time_point stopSentAt;
    bool isStopUnderWay = false;
    std::optional<utils::time_point> stopConfirmedAt;
};

struct task_state {
    bool isDone = false;
    //! Numbers of the runs that failed.
    std::vector<std::uint64_t> failedRuns;
    //! Restarts of a task that lasts, in a row.
    unsigned restarts = 0;
    std::uint64_t lastRun = 0;
    std::string checkpoint;
    utils::time_point notBefore;
    //! Since when it could run and does not.
    utils::time_point waitingSince;
    //! Worker that it left because it could not go on there, and does not return to for a while.
    const worker_state* left = nullptr;
    utils::time_point leftUntil;
    //! Worker with room that is kept for it, while it moves there.
    worker_state* heldOn = nullptr;
    utils::time_point heldUntil;
    std::vector<std::unique_ptr<run_state>> runs;
    //! Numbers of runs whose end is known.
    std::vector<std::uint64_t> closedRuns;
    //! Workers on which a run failed or stood still.
    std::vector<std::string> avoided;
    //! A former leader may have started it on a worker that has not answered yet.
    bool mayRunElsewhere = false;
};

struct step_state {
    std::vector<task_state> tasks;
    image_number image = 0;
    unsigned doneCount = 0;
    //! All steps before it are done.
    bool isReady = false;
    //! Sum and count of the durations of its runs that were done, in ms of work on a sound worker.
    double durationSum = 0;
    unsigned durationCount = 0;
};

struct job_state {
    job_spec spec;
    job_phase phase = job_phase::Queued;
    std::vector<step_state> steps;
    utils::time_point acceptedAt;
    utils::time_point endedAt;
    //! Version of the course, raised by each change that must be kept, and the version that the store has.
    std::uint64_t version = 0;
    std::uint64_t storedVersion = 0;
    bool isCancelStored = false;
    //! Time by which its caller wants it, as of \a objectiveAt.
    utils::time_point objective;
    utils::time_point objectiveAt;
};

//! \brief An end that may be acknowledged once the store has the job's course up to a version.
struct unstored_end {
    std::uint64_t number = 0;
    std::string job;
    std::uint64_t version = 0;
};

//! \brief Headroom that a server on a worker has beside everything that runs there.
struct server_room {
    image_number image = 0;
    double headroom = 0;
};

struct worker_state {
    worker_description description;
    bool isAnnounced = false;
    //! A later leader will ask it what it runs.
    bool isOnRoster = false;
    utils::time_point withdrawnAt;
    //! It has answered this leader in its present life.
    bool isFenced = false;
    //! Its clock at \a clockSeen on this host's.
    external::worker_time clock = 0;
    utils::time_point clockSeen;
    //! When the last lease that anyone granted has surely ended.
    utils::time_point leaseOverAt;
    utils::time_point answeredAt;
    std::uint64_t acknowledgedEnd = 0;
    std::uint64_t lastEnd = 0;
    std::deque<unstored_end> unstoredEnds;
    //! Needs of the runs that count against the capacity.
    model::resources charged;
    //! Processors that tasks which fill ask for, thousandths of a core.
    std::int64_t fillProcessors = 0;
    //! Use by tasks that fill and were started or paced up since the last report.
    fill_use unreportedUse;
    //! One for each server with a target; kept up by updateRooms().
    std::vector<server_room> rooms;
    //! Servers that suffer from each image that fills, and the share of the filling work that they keep away.
    blocker_counts blockers;
    double blocked = 0;
    //! Processors of the tasks that serve.
    std::int64_t servingProcessors = 0;
    std::vector<run_state*> runs;
    //! Observations under way: the waiting one and one that answers at once.
    bool isObserved = false;
    bool isProbed = false;
    bool wantsProbe = false;
    utils::time_point nextObservation;
    unsigned silences = 0;
    worker_trust trust;
};

} // namespace camphorsaddle::jobs
