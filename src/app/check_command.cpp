#include "app/command_line.h"
#include "app/files.h"
#include "settings/configuration_parser.h"
#include "settings/documentation.h"
#include "settings/process_settings.h"

namespace camphorsaddle::app {

namespace {

    //! Prints the errors to standard error and returns the exit code.
    int printErrors(const std::vector<settings::setting_error>& errors)
    {
        for (const auto& error : errors)
            std::cerr << settings::describe(error) << "\n";
        return errors.empty() ? Success : Failure;
    }

    int checkSettings(const std::string& path)
    {
        const auto text = readFile(path);
        if (!text.ok()) {
            std::cerr << utils::describe(text.status()) << "\n";
            return Failure;
        }
        return printErrors(settings::readProcessSettings(*text, path).errors);
    }

    int checkConfiguration(const std::string& base, const std::vector<std::string>& overlays)
    {
        std::vector<settings::named_document> documents;
        std::vector<std::string> paths { base };
        paths.insert(paths.end(), overlays.begin(), overlays.end());
        for (const auto& path : paths) {
            auto text = readFile(path);
            if (!text.ok()) {
                std::cerr << utils::describe(text.status()) << "\n";
                return Failure;
            }
            documents.push_back({ path, *std::move(text) });
        }
        return printErrors(settings::checkConfiguration(documents.front(), { documents.begin() + 1, documents.end() }));
    }

} // namespace

int runCheck(arguments arguments)
{
    TCLAP::CmdLine line("Checks process settings, or a base configuration and its overlays.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settingsFile("", "settings", "process settings", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> base("", "base", "base configuration", false, "", "FILE", line);
    TCLAP::MultiArg<std::string> overlays("", "overlay", "overlay of a data centre", false, "FILE", line);
    TCLAP::SwitchArg documentation("", "print-documentation", "print the documentation of all settings as Markdown", line);
    return parseAndRun(line, arguments, [&] {
        if (documentation.getValue()) {
            std::cout << settings::renderDocumentation();
            return static_cast<int>(Success);
        }
        if (settingsFile.isSet() == base.isSet()) {
            std::cerr << "camphorsaddle check: specify either --settings or --base\n";
            return static_cast<int>(UsageError);
        }
        return settingsFile.isSet() ? checkSettings(settingsFile.getValue()) : checkConfiguration(base.getValue(), overlays.getValue());
    });
}

} // namespace camphorsaddle::app
