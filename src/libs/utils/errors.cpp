#include "utils/errors.h"

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"

namespace camphorsaddle::utils {

namespace {

    constexpr absl::string_view stepPayload = "camphorsaddle/step";
    constexpr absl::string_view peerPayload = "camphorsaddle/peer";

    std::string payload(const absl::Status& status, absl::string_view name)
    {
        auto value = status.GetPayload(name);
        return value ? std::string(*value) : std::string();
    }

} // namespace

absl::Status makeError(absl::StatusCode code, absl::string_view step, absl::string_view peer, absl::string_view cause)
{
    return withContext(absl::Status(code, cause), step, peer);
}

absl::Status withContext(absl::Status status, absl::string_view step, absl::string_view peer)
{
    if (status.ok() || status.GetPayload(stepPayload))
        return status;
    status.SetPayload(stepPayload, absl::Cord(step));
    status.SetPayload(peerPayload, absl::Cord(peer));
    return status;
}

std::string errorStep(const absl::Status& status)
{
    return payload(status, stepPayload);
}

std::string errorPeer(const absl::Status& status)
{
    return payload(status, peerPayload);
}

std::string describe(const absl::Status& status)
{
    std::string text;
    for (const auto& part : { errorStep(status), errorPeer(status) }) {
        if (!part.empty())
            absl::StrAppend(&text, part, ": ");
    }
    absl::StrAppend(&text, status.ok() ? "ok" : status.message());
    return text;
}

} // namespace camphorsaddle::utils
