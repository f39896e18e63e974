#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>

namespace figcleat
{

/**
 * A name that cannot be mixed up with a name of another kind.
 *
 *     workspace_id w{"clinics"};
 */
template<typename Tag>
struct text_id
{
    std::string value;

    auto operator<=>(const text_id &) const = default;
    [[nodiscard]] bool empty() const
    {
        return value.empty();
    }
    MSGPACK_DEFINE(value)
};

/** A number that cannot be mixed up with a number of another kind. Starts at 0, which means "none". */
template<typename Tag>
struct number_id
{
    std::uint64_t value = 0;

    auto operator<=>(const number_id &) const = default;
    [[nodiscard]] number_id next() const
    {
        return { value + 1 };
    }
    MSGPACK_DEFINE(value)
};

using vm_id = text_id<struct vm_tag>;
using data_centre_id = text_id<struct data_centre_tag>;
using workspace_id = text_id<struct workspace_tag>;
using service_id = text_id<struct service_tag>;
using target_id = text_id<struct target_tag>;
using group_id = text_id<struct group_tag>;
using request_id = text_id<struct request_tag>;
using model_id = text_id<struct model_tag>;
/** A part of a prompt that requests share, such as a system prompt; requests with the same content have the same id. */
using prompt_part_id = text_id<struct prompt_part_tag>;

/** Mailbox address of a process, "IP:port". */
using peer_address = text_id<struct peer_address_tag>;

/** Distinguishes two lives of a process or an engine. Random, never 0. */
using incarnation_id = number_id<struct incarnation_tag>;
/** One try to run a request on one target. Unique with the incarnation of the entry that made it. */
using attempt_number = number_id<struct attempt_tag>;
/** Index in the replicated log. */
using log_index = number_id<struct log_index_tag>;
/** Fencing number: a log index, so a later holder always has a higher one. */
using fence_number = number_id<struct fence_tag>;
/** Log index of the change that made a configuration the one in force. */
using revision_number = number_id<struct revision_tag>;
using exchange_id = number_id<struct exchange_tag>;

/** An attempt as the whole system names it. */
struct attempt_id
{
    incarnation_id entry;
    attempt_number number;

    auto operator<=>(const attempt_id &) const = default;
    MSGPACK_DEFINE(entry, number)
};

} // namespace figcleat

template<typename Tag>
struct std::hash<figcleat::text_id<Tag>>
{
    std::size_t operator()(const figcleat::text_id<Tag> &id) const noexcept
    {
        return std::hash<std::string> {}(id.value);
    }
};

template<typename Tag>
struct std::hash<figcleat::number_id<Tag>>
{
    std::size_t operator()(const figcleat::number_id<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.value);
    }
};

template<>
struct std::hash<figcleat::attempt_id>
{
    std::size_t operator()(const figcleat::attempt_id &id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.entry.value ^ (id.number.value * 0x9e3779b97f4a7c15ULL));
    }
};
