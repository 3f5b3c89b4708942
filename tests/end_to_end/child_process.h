#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace camphorsaddle::end_to_end {

//! \brief A child process. It is killed when this object is destroyed, and also when the test process dies.
class child_process {
public:
    //! Starts the command; its standard output and standard error are appended to \a logFile.
    child_process(const std::vector<std::string>& command, const std::string& logFile);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t id() const
    {
        return m_id;
    }

    //! \brief Sends a signal if the process is running.
    void signal(int number) const;
    bool isRunning();
    //! \brief Sends SIGKILL and waits until the process has exited.
    void kill();
    //! \brief Exit code of the process after it has exited, or the negative number of the signal that terminated it.
    int exitCode() const
    {
        return m_exitCode;
    }

private:
    pid_t m_id = -1;
    int m_exitCode = 0;
};

} // namespace camphorsaddle::end_to_end
