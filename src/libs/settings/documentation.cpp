#include "settings/documentation.h"

#include "settings/configuration_keys.h"
#include "settings/process_keys.h"

namespace camphorsaddle::settings {

namespace {

    constexpr absl::string_view tableHeader = "| key | type | default | unit | bounds | meaning |\n| --- | --- | --- | --- | --- | --- |\n";

    std::string defaultText(const key_declaration& declaration)
    {
        return declaration.defaultValue ? absl::StrCat("`", declaration.defaultValue->dump(), "`") : "required";
    }

    template <typename T>
    std::string tableRows(absl::string_view prefix, const key_table<T>& keys)
    {
        std::string text;
        for (const setting_key<T>& entry : keys) {
            const key_declaration& declaration = entry.declaration;
            absl::StrAppend(&text, "| `", joinPath(prefix, declaration.path), "` | ", typeName(declaration.type), " | ", defaultText(declaration), " | ");
            absl::StrAppend(&text, declaration.unit, " | ", boundsText(declaration), " | ", declaration.help, " |\n");
        }
        return text;
    }

    std::string helpLine(const key_declaration& declaration)
    {
        std::string text = absl::StrCat("  ", declaration.path, " (", typeName(declaration.type));
        const std::string bounds = boundsText(declaration);
        if (!bounds.empty())
            absl::StrAppend(&text, ", ", bounds);
        if (!declaration.unit.empty())
            absl::StrAppend(&text, " ", declaration.unit);
        absl::StrAppend(&text, declaration.defaultValue ? absl::StrCat(", default ", declaration.defaultValue->dump()) : ", required");
        return absl::StrCat(text, "): ", declaration.help, "\n");
    }

} // namespace

std::string renderDocumentation()
{
    std::string text = "# Settings and configuration\n\n"
                       "Generated from the declarations in src/libs/settings; a test fails if this page is out of date.\n\n"
                       "Both are JSON objects. A dot in a key denotes a nested object, `*` the name of an entry. "
                       "Unknown keys, duplicate keys, wrong types and values out of bounds are errors. All errors are reported at once.\n\n"
                       "## Process settings\n\n"
                       "Read once by `camphorsaddle serve --settings FILE`. The `cluster` keys must be equal in all daemons of a deployment.\n\n";
    absl::StrAppend(&text, tableHeader, tableRows("", processKeys()), tableRows(absl::StrCat(dataCentresPath, "[]"), dataCentreKeys()));
    absl::StrAppend(&text, "\n## Operators' configuration\n\n"
                           "One base, and one overlay for each data centre. An overlay contains only what differs from the base; null removes an entry of "
                           "`services`, `batch_kinds` or `teams` that exists in the base. The base is validated alone and with every overlay. "
                           "In addition to the bounds: `spread` is at most `replicas`, `hedging` requires `repeatable`, `latency_target_ms` is at most "
                           "`deadline_ms`, a quota is large enough for a task of at least one kind, no two teams share a token, and at least one weight is greater than 0.\n\n");
    absl::StrAppend(&text, tableHeader, tableRows("", configurationKeys()));
    absl::StrAppend(&text, tableRows(absl::StrCat(servicesSection, ".*"), serviceKeys()));
    absl::StrAppend(&text, tableRows(absl::StrCat(batchKindsSection, ".*"), batchKindKeys()));
    absl::StrAppend(&text, tableRows(absl::StrCat(teamsSection, ".*"), teamKeys()));
    return text;
}

std::string renderSettingsHelp()
{
    std::string text;
    for (const auto& entry : processKeys())
        absl::StrAppend(&text, helpLine(entry.declaration));
    absl::StrAppend(&text, "  ", dataCentresPath, " (list of objects, required), each with\n");
    for (const auto& entry : dataCentreKeys())
        absl::StrAppend(&text, "  ", helpLine(entry.declaration));
    return text;
}

} // namespace camphorsaddle::settings
