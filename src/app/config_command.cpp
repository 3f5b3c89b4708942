#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <random>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "app/administration_client.h"
#include "app/command_line.h"
#include "app/files.h"

namespace camphorsaddle::app {

namespace {

    constexpr std::chrono::milliseconds statusInterval { 200 };
    constexpr std::chrono::seconds propagationTimeout { 15 };

    std::string newChangeId()
    {
        std::random_device source;
        return absl::StrCat(absl::Hex(source(), absl::kZeroPad8), absl::Hex(source(), absl::kZeroPad8));
    }

    std::string operatorName()
    {
        const char* user = std::getenv("USER");
        return user == nullptr ? "unknown" : user;
    }

    int fail(const absl::Status& status)
    {
        std::cerr << utils::describe(status) << "\n";
        return Failure;
    }

    int fail(const transport::http_response& response)
    {
        printErrorResponse(response);
        return Failure;
    }

    //! Prints an error and advises the operator when there was no response and the edit may or may not have been written.
    int failWithoutResponse(const absl::Status& status, const std::string& changeId)
    {
        if (absl::IsUnavailable(status)) {
            std::cerr << utils::describe(status) << "\nthe edit was not sent: submit it to another daemon with --admin URL\n";
            return Failure;
        }
        std::cerr << utils::describe(status) << "\nthe edit may have been written: look for change " << changeId << " in camphorsaddle config history, or submit again with --change " << changeId << "\n";
        return Failure;
    }

    std::string documentPath(const std::string& dataCentre)
    {
        return dataCentre.empty() ? "/v1/config/base" : absl::StrCat("/v1/config/overlays/", transport::percentEncode(dataCentre));
    }

    int printDocument(const std::string& url, const std::string& dataCentre)
    {
        const auto response = callAdministration(url, { .url = documentPath(dataCentre) });
        if (!response.ok())
            return fail(response.status());
        if (response->status != 200)
            return fail(*response);
        std::cerr << "revision " << response->headers.find("etag")->second << "\n";
        std::cout << response->body << "\n";
        return Success;
    }

    //! Prints the changes from the current document to the submitted one.
    void printJsonPatch(const nlohmann::json& body)
    {
        if (!body.is_object() || !body.contains("difference") || !body["difference"].is_array())
            return;
        std::cerr << "changes from the current document to the submitted one:\n";
        for (const auto& change : body["difference"]) {
            std::cerr << "  " << change.value("op", "") << " " << change.value("path", "");
            if (change.contains("value"))
                std::cerr << " " << change["value"].dump();
            std::cerr << "\n";
        }
        std::cerr << "get the current document with camphorsaddle config get, make the change there and submit it again\n";
    }

    //! Returns the data centre and id of each daemon whose revision is lower than \a revision.
    std::vector<std::string> outdatedDaemons(const nlohmann::json& status, std::uint64_t revision)
    {
        std::vector<std::string> outdated;
        for (const auto& dataCentre : status.value("sites", nlohmann::json::array())) {
            for (const auto& daemon : dataCentre.value("daemons", nlohmann::json::array())) {
                if (daemon.value("revision", std::uint64_t { 0 }) < revision)
                    outdated.push_back(absl::StrCat(dataCentre.value("data_centre", ""), " (", daemon.value("id", ""), ")"));
            }
        }
        return outdated;
    }

    int waitUntilActive(const std::string& url, std::uint64_t revision)
    {
        const auto end = std::chrono::steady_clock::now() + propagationTimeout;
        std::vector<std::string> outdated { "all" };
        while (std::chrono::steady_clock::now() < end) {
            const auto response = callAdministration(url, { .url = "/v1/config/status" });
            if (response.ok() && response->status == 200) {
                outdated = outdatedDaemons(parseBody(*response), revision);
                if (outdated.empty()) {
                    std::cout << "active on all daemons\n";
                    return Success;
                }
            }
            std::this_thread::sleep_for(statusInterval);
        }
        std::cerr << "wait for revision " << revision << ": " << url << ": accepted, but after " << propagationTimeout.count() << " s not active on";
        for (const auto& daemon : outdated)
            std::cerr << " " << daemon;
        std::cerr << "; check these daemons with camphorsaddle config status\n";
        return Failure;
    }

    //! Returns the current revision of a document in quotes, as the If-Match header needs it; "0" if it does not exist.
    absl::StatusOr<std::string> currentRevision(const std::string& url, const std::string& path)
    {
        const auto response = callAdministration(url, { .url = path });
        if (!response.ok())
            return response.status();
        if (response->status == 404)
            return std::string("\"0\"");
        const auto tag = response->headers.find("etag");
        if (response->status != 200 || tag == response->headers.end())
            return utils::makeError(absl::StatusCode::kUnavailable, "read the current revision", url, absl::StrCat("status ", response->status));
        return tag->second;
    }

    int submitDocument(const std::string& url, const std::string& dataCentre, const std::string& file, const std::string& revision, const std::string& changeId, bool shouldWait)
    {
        const auto text = readFile(file);
        if (!text.ok())
            return fail(text.status());
        const auto path = documentPath(dataCentre);
        const auto ifMatch = revision.empty() ? currentRevision(url, path) : absl::StrCat("\"", revision, "\"");
        if (!ifMatch.ok())
            return fail(ifMatch.status());
        transport::http_call call { .method = "PUT", .url = path };
        call.headers = { { "If-Match", *ifMatch }, { "Camphorsaddle-Change", changeId }, { "Camphorsaddle-Operator", operatorName() } };
        call.body = *text;
        const auto response = callAdministration(url, call);
        if (!response.ok())
            return failWithoutResponse(response.status(), changeId);
        if (response->status != 200) {
            printJsonPatch(parseBody(*response));
            return fail(*response);
        }
        const auto accepted = parseBody(*response).value("revision", std::uint64_t { 0 });
        std::cout << "accepted as revision " << accepted << "\n";
        return shouldWait ? waitUntilActive(url, accepted) : static_cast<int>(Success);
    }

    int printStatus(const std::string& url, bool asJson)
    {
        const auto response = callAdministration(url, { .url = "/v1/config/status" });
        if (!response.ok())
            return fail(response.status());
        if (response->status != 200)
            return fail(*response);
        if (asJson) {
            std::cout << response->body << "\n";
            return Success;
        }
        const auto body = parseBody(*response);
        std::cout << "revision " << body.value("revision", 0) << "\n"
                  << std::left << std::setw(16) << "DATA CENTRE" << std::setw(24) << "DAEMON"
                  << "REVISION\n";
        for (const auto& dataCentre : body["sites"]) {
            for (const auto& daemon : dataCentre["daemons"])
                std::cout << std::setw(16) << dataCentre.value("data_centre", "") << std::setw(24) << daemon.value("id", "") << daemon.value("revision", 0) << "\n";
        }
        return Success;
    }

    int printHistory(const std::string& url, const std::string& query, bool asJson)
    {
        const auto response = callAdministration(url, { .url = absl::StrCat("/v1/config/history", query) });
        if (!response.ok())
            return fail(response.status());
        if (response->status != 200)
            return fail(*response);
        if (asJson) {
            std::cout << response->body << "\n";
            return Success;
        }
        std::cout << std::left << std::setw(10) << "REVISION" << std::setw(24) << "DOCUMENT" << std::setw(16) << "OPERATOR" << std::setw(20) << "CHANGE"
                  << "TIME\n";
        const auto body = parseBody(*response);
        for (const auto& change : body["changes"])
            std::cout << std::setw(10) << change.value("revision", 0) << std::setw(24) << change.value("document", "") << std::setw(16) << change.value("operator", "") << std::setw(20) << change.value("change", "") << absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMillis(change.value("time", std::int64_t { 0 })), absl::UTCTimeZone()) << "\n";
        return Success;
    }

} // namespace

int runConfig(arguments arguments)
{
    TCLAP::CmdLine line("Reads and changes the configuration of the deployment.", ' ', "0.1.0");
    std::vector<std::string> actions { "get", "submit", "status", "history" };
    TCLAP::ValuesConstraint<std::string> allowedActions(actions);
    TCLAP::UnlabeledValueArg<std::string> action("action", "what to do", true, "", &allowedActions, line);
    TCLAP::ValueArg<std::string> url("", "admin", "administration address of any daemon", false, defaultAdministrationUrl, "URL", line);
    TCLAP::ValueArg<std::string> base("", "base", "file of the base configuration", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> overlay("", "overlay", "file of an overlay, with --site", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> site("", "site", "data centre of the overlay", false, "", "NAME", line);
    TCLAP::ValueArg<std::string> revision("", "revision", "revision of the document that the edit is based on; default: the current one", false, "", "N", line);
    TCLAP::ValueArg<std::string> change("", "change", "change id of the first submission, to repeat it after a missing response", false, "", "ID", line);
    TCLAP::ValueArg<std::string> document("", "document", "history: list only this document", false, "", "NAME", line);
    TCLAP::ValueArg<std::string> byOperator("", "operator", "history: list only this operator's edits", false, "", "NAME", line);
    TCLAP::ValueArg<unsigned> limit("", "limit", "history: maximum number of edits, newest first", false, 200, "N", line);
    TCLAP::SwitchArg wait("", "wait", "wait until every live daemon has the change", line);
    TCLAP::SwitchArg json("", "json", "print JSON", line);
    return parseAndRun(line, arguments, [&] {
        if (action.getValue() == "get")
            return printDocument(url.getValue(), site.getValue());
        if (action.getValue() == "status")
            return printStatus(url.getValue(), json.getValue());
        if (action.getValue() == "history")
            return printHistory(url.getValue(), absl::StrCat("?limit=", limit.getValue(), "&document=", transport::percentEncode(document.getValue()), "&operator=", transport::percentEncode(byOperator.getValue())), json.getValue());
        if (base.isSet() == overlay.isSet() || overlay.isSet() != site.isSet()) {
            std::cerr << "camphorsaddle config submit: specify either --base FILE, or --overlay FILE with --site NAME\n";
            return static_cast<int>(UsageError);
        }
        return submitDocument(url.getValue(), site.getValue(), base.isSet() ? base.getValue() : overlay.getValue(), revision.getValue(), change.isSet() ? change.getValue() : newChangeId(), wait.getValue());
    });
}

} // namespace camphorsaddle::app
