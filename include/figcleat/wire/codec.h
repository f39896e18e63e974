#pragma once

#include "figcleat/core/result-code.h"

#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    /** A variant travels as the array [index, value]; an unknown index is a type error. */
    template<typename... Ts>
    struct pack<std::variant<Ts...>>
    {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &out, const std::variant<Ts...> &value) const
        {
            out.pack_array(2);
            out.pack(static_cast<std::uint32_t>(value.index()));
            std::visit([&out](const auto &held) { out.pack(held); }, value);
            return out;
        }
    };

    template<typename... Ts>
    struct convert<std::variant<Ts...>>
    {
        const msgpack::object &operator()(const msgpack::object &in, std::variant<Ts...> &value) const
        {
            if (in.type != msgpack::type::ARRAY || in.via.array.size != 2) {
                throw msgpack::type_error();
            }
            const auto index = in.via.array.ptr[0].as<std::uint32_t>();
            if (index >= sizeof...(Ts)) {
                throw msgpack::type_error();
            }
            convertAt(index, in.via.array.ptr[1], value, std::index_sequence_for<Ts...> {});
            return in;
        }

    private:
        template<std::size_t... Is>
        static void convertAt(std::size_t index, const msgpack::object &in, std::variant<Ts...> &value,
                              std::index_sequence<Is...> /*all*/)
        {
            ((index == Is ? (void)(value = in.as<std::variant_alternative_t<Is, std::variant<Ts...>>>()) : (void)0),
             ...);
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace figcleat
{

/** Largest message between processes and largest record on disk, in bytes. */
inline constexpr std::size_t maxMessageBytes = std::size_t { 4 } * 1024 * 1024;

namespace detail
{

// Counts are bounded so that a small message cannot make the decoder allocate much more than its own size.
inline const msgpack::unpack_limit decodeLimit { 1 << 20, 1 << 16, maxMessageBytes, maxMessageBytes, 0, 32 };

} // namespace detail

template<typename T>
[[nodiscard]] std::string encode(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

/** Decodes one value; `message_malformed` or `message_too_large` otherwise. */
template<typename T>
[[nodiscard]] expected<T> decode(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes) {
        return fail(result_code::message_too_large, std::to_string(bytes.size()) + " bytes");
    }
    try {
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, detail::decodeLimit);
        if (offset != bytes.size()) {
            return fail(result_code::message_malformed, "bytes after the end");
        }
        return handle.get().as<T>();
    } catch (const std::exception &problem) {
        return fail(result_code::message_malformed, problem.what());
    }
}

} // namespace figcleat
