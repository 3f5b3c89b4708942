#include "jobs/exchange_search.h"

#include <algorithm>
#include <iterator>
#include <queue>

namespace camphorsaddle::jobs {

namespace {

    // Limits of the pairs that are tried for one place, and of the places of a pair of classes that find no partner.
    constexpr std::size_t maximumPartners = 32;
    constexpr unsigned maximumUnsuitablePlaces = 2;

} // namespace

exchange_search::exchange_search(const blocked_demand_model& model, double minimumGain)
    : m_model(model)
    , m_minimumGain(minimumGain)
{
}

void exchange_search::addPlace(const service_place& place, const blocker_counts& counts, const std::vector<image_index>& antagonists)
{
    const auto [entry, isNew] = m_classes.try_emplace(antagonists, m_antagonists.size());
    if (isNew)
        m_antagonists.push_back(antagonists);
    if (m_places.empty() || m_places.back().place.worker != place.worker)
        m_counts.push_back(&counts);
    m_places.push_back({ place, entry->second, m_counts.size() - 1 });
}

std::uint64_t exchange_search::evaluations() const
{
    return m_evaluations;
}

exchange_search::place_order& exchange_search::orderOf(std::size_t leaving, std::size_t coming)
{
    return m_orders[leaving * m_antagonists.size() + coming];
}

void exchange_search::compareClasses()
{
    m_commonAntagonists.clear();
    for (const auto& left : m_antagonists) {
        for (const auto& right : m_antagonists) {
            auto& common = m_commonAntagonists.emplace_back();
            std::ranges::copy_if(left, std::back_inserter(common), [&](image_index image) { return std::ranges::find(right, image) != right.end(); });
        }
    }
}

void exchange_search::evaluatePlaces()
{
    compareClasses();
    m_hasExchanged.assign(m_counts.size(), false);
    m_orders.assign(m_antagonists.size() * m_antagonists.size(), {});
    for (std::size_t begin = 0; begin < m_places.size();) {
        auto end = begin + 1;
        while (end < m_places.size() && m_places[end].worker == m_places[begin].worker)
            ++end;
        evaluateWorker(begin, end);
        begin = end;
    }
    for (std::size_t left = 0; left < m_antagonists.size(); ++left) {
        for (std::size_t right = 0; right < left; ++right) {
            auto& leftHeap = orderOf(left, right).heap;
            auto& rightHeap = orderOf(right, left).heap;
            const auto bestOf = [](const auto& heap) {
                return heap.empty() ? std::optional<double>() : std::ranges::max_element(heap)->value;
            };
            const auto bestLeft = bestOf(leftHeap);
            const auto bestRight = bestOf(rightHeap);
            // A place that doesn't gain enough with the best partner doesn't with any.
            std::erase_if(leftHeap, [&](const auto& place) { return !bestRight || place.value + *bestRight <= 0; });
            std::erase_if(rightHeap, [&](const auto& place) { return !bestLeft || place.value + *bestLeft <= 0; });
            std::ranges::make_heap(leftHeap);
            std::ranges::make_heap(rightHeap);
        }
    }
}

void exchange_search::evaluateWorker(std::size_t begin, std::size_t end)
{
    const auto& counts = *m_counts[m_places[begin].worker];
    const auto classCount = m_antagonists.size();
    m_costsOfAdding.clear();
    for (const auto& antagonists : m_antagonists)
        m_costsOfAdding.push_back(m_model.costOfAdding(counts, antagonists));
    m_gains.assign(classCount * classCount, std::nullopt);
    for (auto number = begin; number < end; ++number) {
        const auto leaving = m_places[number].placeClass;
        const double gainOfRemoving = m_model.gainOfRemoving(counts, m_antagonists[leaving]);
        const double minimumGain = m_places[number].place.run == nullptr ? 0 : m_minimumGain;
        for (std::size_t coming = 0; coming < classCount; ++coming) {
            if (coming == leaving)
                continue;
            auto& gain = m_gains[leaving * classCount + coming];
            if (!gain) {
                ++m_evaluations;
                gain = gainOfRemoving - m_costsOfAdding[coming];
                // An image that both tasks block is blocked before and after.
                for (const auto image : m_commonAntagonists[leaving * classCount + coming])
                    *gain += m_model.costOfAdding(counts, image) - m_model.gainOfRemoving(counts, image);
            }
            orderOf(leaving, coming).heap.push_back({ *gain - minimumGain, static_cast<std::uint32_t>(number) });
        }
    }
}

const exchange_search::evaluated_place* exchange_search::placeAt(place_order& order, std::size_t position)
{
    while (order.sorted.size() <= position && !order.heap.empty()) {
        std::ranges::pop_heap(order.heap);
        order.sorted.push_back(order.heap.back());
        order.heap.pop_back();
    }
    return position < order.sorted.size() ? &order.sorted[position] : nullptr;
}

const exchange_search::evaluated_place* exchange_search::firstPlace(place_order& order)
{
    const auto* place = placeAt(order, order.first);
    while (place != nullptr && m_hasExchanged[m_places[place->place].worker])
        place = placeAt(order, ++order.first);
    return place;
}

std::optional<double> exchange_search::bestValue(const class_pair& pair)
{
    const auto* left = firstPlace(orderOf(pair.left, pair.right));
    auto& partners = orderOf(pair.right, pair.left);
    const auto* right = firstPlace(partners);
    if (left == nullptr)
        return std::nullopt;
    const auto leftWorker = m_places[left->place].worker;
    for (auto position = partners.first; right != nullptr; right = placeAt(partners, ++position)) {
        const auto worker = m_places[right->place].worker;
        if (worker != leftWorker && !m_hasExchanged[worker])
            return left->value + right->value;
    }
    return std::nullopt;
}

exchange_outcome exchange_search::offerFirst(const class_pair& pair, const exchange_callback& tryExchange)
{
    auto& leftOrder = orderOf(pair.left, pair.right);
    auto& rightOrder = orderOf(pair.right, pair.left);
    const auto left = leftOrder.sorted[leftOrder.first];
    const auto& leftPlace = m_places[left.place];
    std::size_t partners = 0;
    for (auto position = rightOrder.first; partners < maximumPartners; ++position) {
        const auto* right = placeAt(rightOrder, position);
        if (right == nullptr || left.value + right->value <= 0)
            break;
        const auto& rightPlace = m_places[right->place];
        if (m_hasExchanged[rightPlace.worker] || rightPlace.worker == leftPlace.worker)
            continue;
        ++partners;
        ++m_evaluations;
        const auto outcome = tryExchange(leftPlace.place, rightPlace.place);
        if (outcome == exchange_outcome::Unsuitable)
            continue;
        m_hasExchanged[leftPlace.worker] = true;
        m_hasExchanged[rightPlace.worker] = true;
        return outcome;
    }
    ++leftOrder.first;
    return exchange_outcome::Unsuitable;
}

void exchange_search::offerExchanges(const exchange_callback& tryExchange)
{
    evaluatePlaces();
    std::priority_queue<class_pair> pairs;
    for (std::size_t left = 0; left < m_antagonists.size(); ++left) {
        for (std::size_t right = 0; right < m_antagonists.size(); ++right) {
            if (left == right)
                continue;
            class_pair pair { 0, left, right };
            pair.value = bestValue(pair).value_or(0);
            pairs.push(pair);
        }
    }
    while (!pairs.empty() && pairs.top().value > 0) {
        auto pair = pairs.top();
        pairs.pop();
        const auto value = bestValue(pair).value_or(0);
        // Its best places may have taken part in other exchanges.
        if (value >= pair.value) {
            const auto outcome = offerFirst(pair, tryExchange);
            if (outcome == exchange_outcome::Finished)
                return;
            if (outcome == exchange_outcome::Unsuitable && ++pair.unsuitableCount >= maximumUnsuitablePlaces)
                continue;
        }
        pair.value = bestValue(pair).value_or(0);
        pairs.push(pair);
    }
}

} // namespace camphorsaddle::jobs
