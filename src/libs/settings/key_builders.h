#pragma once

#include <chrono>
#include <functional>
#include <type_traits>
#include <utility>

#include "settings/key_table.h"
#include "utils/clock.h"

namespace camphorsaddle::settings {

//! \brief Converts \a value, which valueError() has accepted, to the type of a member.
template <typename M>
M fromJson(const json& value)
{
    if constexpr (std::is_same_v<M, utils::milliseconds>)
        return utils::milliseconds(value.get<std::int64_t>());
    else
        return value.get<M>();
}

//! \brief Converts the value of a member to JSON; durations become milliseconds.
template <typename M>
json toJson(const M& value)
{
    if constexpr (std::is_same_v<M, utils::milliseconds>)
        return value.count();
    else
        return value;
}

//! \brief Binds \a declaration to a member of T; \a member is a callable that returns a reference to it from a T&.
template <typename T, typename F>
setting_key<T> makeKey(key_declaration declaration, F member)
{
    using member_type = std::remove_reference_t<std::invoke_result_t<F, T&>>;
    return {
        std::move(declaration),
        [member](T& value, const json& read) { member(value) = fromJson<member_type>(read); },
        [member](const T& value) {
            T copy = value;
            return toJson<member_type>(member(copy));
        },
    };
}

//! \brief Like makeKey(), with the default member initializer of T as the default value.
template <typename T, typename F>
setting_key<T> makeKeyWithMemberDefault(key_declaration declaration, F member)
{
    setting_key<T> result = makeKey<T>(std::move(declaration), member);
    result.declaration.defaultValue = result.render(T {});
    return result;
}

} // namespace camphorsaddle::settings
