#include "end_to_end/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace camphorsaddle::end_to_end {

namespace {

    int toExitCode(int status)
    {
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& logFile)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    m_id = fork();
    if (m_id != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int logDescriptor = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(logDescriptor, STDOUT_FILENO);
    dup2(logDescriptor, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number) const
{
    if (m_id > 0)
        ::kill(m_id, number);
}

bool child_process::isRunning()
{
    int status = 0;
    if (m_id > 0 && waitpid(m_id, &status, WNOHANG) == m_id) {
        m_exitCode = toExitCode(status);
        m_id = -1;
    }
    return m_id > 0;
}

void child_process::kill()
{
    if (!isRunning())
        return;
    int status = 0;
    signal(SIGKILL);
    waitpid(m_id, &status, 0);
    m_exitCode = toExitCode(status);
    m_id = -1;
}

} // namespace camphorsaddle::end_to_end
