#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "tasks/scheduler/evacuation_follower.h"
#include "transport/http_message.h"

namespace camphorsaddle::tasks {

//! \brief What the responses show in addition to the stored requests.
struct evacuation_overview {
    //! Data centres in which the platform lists live workers.
    std::set<std::string> dataCentresWithWorkers;
    //! Number of tasks that occupy workers in each data centre, of the shards that this daemon owns.
    std::map<std::string, std::size_t> tasks;
};

//! \brief Path of all requests to evacuate a data centre.
inline constexpr absl::string_view evacuationsPath = "/v1/evacuations";

//! \brief Whether \a path is evacuationsPath or below it.
bool isEvacuationPath(absl::string_view path);

//! \brief Serves the calls that request, cancel and list evacuations, see docs/API.md.
class evacuation_api {
public:
    using reply_callback = std::function<void(transport::http_response)>;

    //! \a dataCentres are those of the deployment, for which an evacuation may be requested. The references must outlive
    //! this object.
    evacuation_api(external::key_value_store& store, evacuation_follower& follower, std::set<std::string> dataCentres, std::function<evacuation_overview()> readOverview);

    //! \brief Serves a call that was made at \a now; \a reply is called once, unless this object is destroyed before.
    void handle(const transport::http_request& request, std::chrono::system_clock::time_point now, const reply_callback& reply);

private:
    void list(const reply_callback& reply);
    void request(const evacuation_request& requested, unsigned triesLeft, const reply_callback& reply);
    void handleExisting(const evacuation_request& requested, unsigned triesLeft, const reply_callback& reply);
    void cancel(const std::string& dataCentre, unsigned triesLeft, const reply_callback& reply);
    void erase(const external::key_value& stored, const std::string& dataCentre, unsigned triesLeft, const reply_callback& reply);
    transport::http_response listResponse() const;
    //! Wraps a callback of the store: ignores it after this object was destroyed.
    template <typename Handler>
    auto wrapCallback(Handler handler)
    {
        return [lifetime = std::weak_ptr(m_alive), handler](const auto& answer) {
            if (!lifetime.expired())
                handler(answer);
        };
    }

    external::key_value_store& m_store;
    evacuation_follower& m_follower;
    std::set<std::string> m_dataCentres;
    std::function<evacuation_overview()> m_readOverview;
    //! Expires with this object.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace camphorsaddle::tasks
