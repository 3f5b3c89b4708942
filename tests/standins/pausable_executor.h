#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "standins/virtual_clock.h"

namespace camphorsaddle::standins {

//! \brief Executor of one simulated process on the virtual clock. pause() simulates SIGSTOP.
//!
//! Functions that come due during a pause run when it ends; the time has then advanced by the length of the pause.
class pausable_executor final : public journal::executor {
public:
    explicit pausable_executor(virtual_clock& clock)
        : m_clock(clock)
    {
    }

    utils::time_point now() const override
    {
        return m_clock.now();
    }

    void callLater(utils::milliseconds delay, std::function<void()> function) override
    {
        m_clock.callLater(delay, [this, function = std::move(function)]() mutable {
            if (m_isPaused)
                m_heldFunctions.push_back(std::move(function));
            else
                function();
        });
    }

    void pause()
    {
        m_isPaused = true;
    }

    void resume()
    {
        m_isPaused = false;
        for (auto& function : std::exchange(m_heldFunctions, {}))
            m_clock.callLater(utils::milliseconds(0), std::move(function));
    }

private:
    virtual_clock& m_clock;
    bool m_isPaused = false;
    std::vector<std::function<void()>> m_heldFunctions;
};

} // namespace camphorsaddle::standins
