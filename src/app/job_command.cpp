#include <iomanip>

#include "absl/strings/str_cat.h"
#include "app/administration_client.h"
#include "app/command_line.h"
#include "utils/errors.h"

namespace camphorsaddle::app {

namespace {

    void printJob(const nlohmann::json& job)
    {
        std::cout << std::left << std::setw(24) << job.value("id", "") << std::setw(16) << job.value("team", "") << std::setw(20) << job.value("kind", "") << std::setw(12) << job.value("state", "");
        for (const auto& [phase, count] : job["tasks"].items()) {
            if (count != 0)
                std::cout << phase << " " << count << "  ";
        }
        std::cout << "\n";
    }

    void printTable(const nlohmann::json& body)
    {
        std::cout << std::left << std::setw(24) << "JOB" << std::setw(16) << "TEAM" << std::setw(20) << "KIND" << std::setw(12) << "STATE"
                  << "TASKS\n";
        if (!body.contains("jobs")) {
            printJob(body);
            return;
        }
        for (const auto& job : body["jobs"])
            printJob(job);
    }

    int call(const std::string& url, transport::http_call call, bool asJson)
    {
        const auto response = callAdministration(url, std::move(call));
        if (!response.ok()) {
            std::cerr << utils::describe(response.status()) << "\n";
            return Failure;
        }
        if (response->status >= 300) {
            printErrorResponse(*response);
            return Failure;
        }
        if (asJson)
            std::cout << response->body << "\n";
        else
            printTable(parseBody(*response));
        return Success;
    }

} // namespace

int runJob(arguments arguments)
{
    TCLAP::CmdLine line("Submits, shows and cancels jobs.", ' ', "0.1.0");
    std::vector<std::string> actions { "submit", "status", "cancel", "list" };
    TCLAP::ValuesConstraint<std::string> allowedActions(actions);
    TCLAP::UnlabeledValueArg<std::string> action("action", "what to do", true, "", &allowedActions, line);
    TCLAP::ValueArg<std::string> url("", "admin", "administration address of any daemon", false, defaultAdministrationUrl, "URL", line);
    TCLAP::ValueArg<std::string> id("", "id", "id of the job; submitting the same id again does not create another job", false, "", "ID", line);
    TCLAP::ValueArg<std::string> team("", "team", "team of the job", true, "", "NAME", line);
    TCLAP::ValueArg<std::string> kind("", "kind", "batch kind, as in the configuration", false, "", "NAME", line);
    TCLAP::ValueArg<unsigned> tasks("", "tasks", "number of tasks", false, 1, "N", line);
    TCLAP::SwitchArg json("", "json", "print JSON", line);
    return parseAndRun(line, arguments, [&] {
        const bool isList = action.getValue() == "list";
        const bool isSubmit = action.getValue() == "submit";
        if ((!isList && !id.isSet()) || (isSubmit && !kind.isSet())) {
            std::cerr << "camphorsaddle job " << action.getValue() << ": specify --id" << (isSubmit ? " and --kind" : "") << "\n";
            return static_cast<int>(UsageError);
        }
        transport::http_call request;
        request.url = absl::StrCat("/v1/jobs", isList || isSubmit ? "" : absl::StrCat("/", transport::percentEncode(id.getValue())), "?team=", transport::percentEncode(team.getValue()));
        request.method = isSubmit ? "POST" : action.getValue() == "cancel" ? "DELETE"
                                                                           : "GET";
        if (isSubmit)
            request.body = nlohmann::json { { "id", id.getValue() }, { "team", team.getValue() }, { "kind", kind.getValue() }, { "tasks", tasks.getValue() } }.dump();
        return call(url.getValue(), std::move(request), json.getValue());
    });
}

} // namespace camphorsaddle::app
