#pragma once

#include <msgpack.hpp>
#include <string>
#include <string_view>

/** A snapshot is a sequence of MessagePack values, so that neither side holds a second copy of all records. */
namespace figcleat::agreed
{

class snapshot_writer
{
public:
    template<typename T>
    void put(const T &value)
    {
        msgpack::pack(m_sink, value);
    }
    /** Writes the values as one array, as MSGPACK_DEFINE does, without building a struct first. */
    template<typename... Ts>
    void putArray(const Ts &...values)
    {
        msgpack::packer<sink> out(m_sink);
        out.pack_array(sizeof...(values));
        (out.pack(values), ...);
    }
    void reserve(std::size_t more)
    {
        m_sink.bytes.reserve(m_sink.bytes.size() + more);
    }
    [[nodiscard]] std::string take()
    {
        return std::move(m_sink.bytes);
    }

private:
    struct sink
    {
        std::string bytes;
        void write(const char *data, std::size_t size)
        {
            bytes.append(data, size);
        }
    };
    sink m_sink;
};

/** Throws what MessagePack throws on malformed input; `state::restore` turns that into an error. */
class snapshot_reader
{
public:
    explicit snapshot_reader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    template<typename T>
    [[nodiscard]] T take()
    {
        const auto handle = msgpack::unpack(m_bytes.data(), m_bytes.size(), m_offset, nullptr, nullptr, limit);
        return handle.get().as<T>();
    }
    /** A count of records, refused above its bound. */
    [[nodiscard]] std::size_t takeCount(std::size_t bound)
    {
        const auto count = take<std::uint64_t>();
        require(count <= bound);
        return count;
    }
    static void require(bool condition)
    {
        if (!condition) {
            throw msgpack::type_error();
        }
    }
    [[nodiscard]] bool atEnd() const
    {
        return m_offset == m_bytes.size();
    }

private:
    /** Bounds of one value, so that a damaged length does not allocate much more than the snapshot. */
    static inline const msgpack::unpack_limit limit { 1 << 16, 1 << 17, 1 << 22, 1 << 22, 0, 32 };

    std::string_view m_bytes;
    std::size_t m_offset = 0;
};

} // namespace figcleat::agreed
