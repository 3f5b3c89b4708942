#include <cstdlib>
#include <iomanip>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "app/administration_client.h"
#include "app/command_line.h"
#include "utils/errors.h"

namespace camphorsaddle::app {

namespace {

    std::string operatorName()
    {
        const char* user = std::getenv("USER");
        return user == nullptr ? "unknown" : user;
    }

    void printTable(const nlohmann::json& body)
    {
        std::cout << std::left << std::setw(16) << "DATA CENTRE" << std::setw(16) << "OPERATOR" << std::setw(24) << "SINCE" << std::setw(16) << "KNOWN"
                  << "TASKS\n";
        for (const auto& evacuation : body.value("evacuations", nlohmann::json::array()))
            std::cout << std::setw(16) << evacuation.value("data_centre", "") << std::setw(16) << evacuation.value("operator", "") << std::setw(24) << absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMillis(evacuation.value("since", std::int64_t { 0 })), absl::UTCTimeZone()) << std::setw(16) << (evacuation.value("known", false) ? "yes" : "no such name") << evacuation.value("tasks", 0) << "\n";
        if (!body.value("can_start", true))
            std::cout << "no data centre is left with workers that may start batch tasks\n";
    }

    //! Sends the call and passes the body of a successful response to \a print.
    template <typename Print>
    int call(const std::string& url, transport::http_call call, bool asJson, Print print)
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
            print(*response);
        return Success;
    }

} // namespace

int runEvacuate(arguments arguments)
{
    TCLAP::CmdLine line("Requests that no batch task starts in a data centre, cancels the request, and lists the requests.", ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> name("name", "data centre", false, "", "NAME", line);
    TCLAP::ValueArg<std::string> url("", "admin", "administration address of any daemon", false, defaultAdministrationUrl, "URL", line);
    TCLAP::SwitchArg cancel("", "cancel", "cancel the request", line);
    TCLAP::SwitchArg status("", "status", "list the requests", line);
    TCLAP::SwitchArg json("", "json", "print JSON", line);
    return parseAndRun(line, arguments, [&] {
        // An unknown option is parsed as the name.
        const bool isUsageError = name.isSet() == status.getValue() || (cancel.getValue() && status.getValue()) || name.getValue().starts_with('-');
        if (isUsageError) {
            std::cerr << "camphorsaddle evacuate: specify either a data centre, with --cancel to cancel its evacuation, or --status\n";
            return static_cast<int>(UsageError);
        }
        if (status.getValue())
            return call(url.getValue(), { .url = "/v1/evacuations" }, json.getValue(), [](const transport::http_response& response) { printTable(parseBody(response)); });
        transport::http_call request { .method = cancel.getValue() ? "DELETE" : "PUT", .url = absl::StrCat("/v1/evacuations/", transport::percentEncode(name.getValue())) };
        request.headers = { { "Camphorsaddle-Operator", operatorName() } };
        return call(url.getValue(), std::move(request), json.getValue(), [&](const transport::http_response& response) {
            const absl::string_view outcome = cancel.getValue() ? "cancelled" : response.status == 201 ? "requested"
                                                                                                       : "requested before";
            std::cout << "evacuation of " << name.getValue() << " " << outcome << "\n";
        });
    });
}

} // namespace camphorsaddle::app
