#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "jobs/blocked_demand_model.h"

namespace camphorsaddle::jobs {

struct run_state;
struct worker_state;

//! \brief Place on a worker for a service task.
struct service_place {
    worker_state* worker = nullptr;
    //! The service task that has the place; nullptr if it is free.
    run_state* run = nullptr;
};

enum class exchange_outcome {
    Exchanged,
    //! Another pair may be suitable.
    Unsuitable,
    //! No further exchanges are wanted.
    Finished,
};

//! \brief Finds the pairs of places on different workers whose exchange unblocks the most best-effort demand.
//!
//! The service tasks of two places exchange their workers; with a free place a task moves. The demand that an exchange unblocks is the
//! sum of two parts, each of which depends on one worker and the antagonists of both tasks. Places are therefore evaluated one by
//! one, and the best pair consists of the best place for each direction.
class exchange_search {
public:
    //! \brief Returns whether the places could exchange their tasks.
    using exchange_callback = std::function<exchange_outcome(const service_place&, const service_place&)>;

    //! \a minimumGain is the share of the demand on a worker that an exchange must unblock for each task that it moves.
    exchange_search(const blocked_demand_model& model, double minimumGain);

    //! \brief Adds a place of a task with these antagonists, or a free one without any. Places of a worker must be added in sequence, and \a counts must be
    //! valid until the end of offerExchanges().
    void addPlace(const service_place& place, const blocker_counts& counts, const std::vector<image_index>& antagonists);

    //! \brief Offers exchanges that gain enough, best ones first. Each worker takes part in one exchange at most.
    void offerExchanges(const exchange_callback& tryExchange);

    //! \brief Number of evaluations so far, of a place for tasks with other antagonists and of a pair of places.
    std::uint64_t evaluations() const;

private:
    //! Places with the same antagonists are of one class.
    struct known_place {
        service_place place;
        std::size_t placeClass = 0;
        std::size_t worker = 0;
    };
    struct evaluated_place {
        //! Share of the demand on its worker that is unblocked, less the minimum gain.
        double value = 0;
        std::uint32_t place = 0;

        auto operator<=>(const evaluated_place&) const = default;
    };
    //! Sorts its places as far as they are needed.
    struct place_order {
        std::vector<evaluated_place> heap;
        //! The best places, in descending order.
        std::vector<evaluated_place> sorted;
        //! Number of sorted places that can't take part any more.
        std::size_t first = 0;
    };
    struct class_pair {
        double value = 0;
        std::size_t left = 0;
        std::size_t right = 0;
        unsigned unsuitableCount = 0;

        auto operator<=>(const class_pair&) const = default;
    };

    void evaluatePlaces();
    //! \brief Evaluates the places from \a begin to \a end, which are those of one worker.
    void evaluateWorker(std::size_t begin, std::size_t end);
    void compareClasses();
    place_order& orderOf(std::size_t leaving, std::size_t coming);
    const evaluated_place* placeAt(place_order& order, std::size_t position);
    //! \brief Best place whose worker hasn't taken part yet.
    const evaluated_place* firstPlace(place_order& order);
    //! \brief Value of the best place of the left class with its best partner of the right class.
    std::optional<double> bestValue(const class_pair& pair);
    exchange_outcome offerFirst(const class_pair& pair, const exchange_callback& tryExchange);

    const blocked_demand_model& m_model;
    double m_minimumGain;
    std::vector<known_place> m_places;
    std::vector<const blocker_counts*> m_counts;
    std::vector<bool> m_hasExchanged;
    std::map<std::vector<image_index>, std::size_t> m_classes;
    std::vector<std::vector<image_index>> m_antagonists;
    //! Antagonists that two classes have in common, by both classes.
    std::vector<std::vector<image_index>> m_commonAntagonists;
    //! By the class of the places and the class of the tasks that come.
    std::vector<place_order> m_orders;
    //! Of the worker that is being evaluated: by the class of a coming task, and in addition by that of a leaving one.
    std::vector<double> m_costsOfAdding;
    std::vector<std::optional<double>> m_gains;
    std::uint64_t m_evaluations = 0;
};

} // namespace camphorsaddle::jobs
