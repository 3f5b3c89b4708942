#pragma once

#include <variant>

#include "tasks/daemon_context.h"
#include "tasks/loop_task.h"
#include "utils/overloaded.h"

namespace camphorsaddle::tasks {

using utils::overloaded;

//! \brief A task of a daemon with access to the state shared by all tasks.
class task : public loop_task {
public:
    explicit task(daemon_context& context)
        : m_context(context)
    {
    }

protected:
    daemon_context& context() const
    {
        return m_context;
    }

private:
    daemon_context& m_context;
};

} // namespace camphorsaddle::tasks
