#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace figcleat
{

/** A count with a unit; counts of different units do not mix. */
template<typename Tag>
struct quantity
{
    std::int64_t count = 0;

    auto operator<=>(const quantity &) const = default;
    quantity &operator+=(quantity other)
    {
        count += other.count;
        return *this;
    }
    quantity &operator-=(quantity other)
    {
        count -= other.count;
        return *this;
    }
    friend quantity operator+(quantity a, quantity b)
    {
        return { a.count + b.count };
    }
    friend quantity operator-(quantity a, quantity b)
    {
        return { a.count - b.count };
    }
    MSGPACK_DEFINE(count)
};

using token_count = quantity<struct token_tag>;
using request_count = quantity<struct request_count_tag>;
using byte_count = quantity<struct byte_tag>;

/** What a request takes from a target while it is in progress. */
struct work_cost
{
    request_count requests;
    token_count promptTokens;
    token_count generatedTokens;

    auto operator<=>(const work_cost &) const = default;
    work_cost &operator+=(const work_cost &other)
    {
        requests += other.requests;
        promptTokens += other.promptTokens;
        generatedTokens += other.generatedTokens;
        return *this;
    }
    work_cost &operator-=(const work_cost &other)
    {
        requests -= other.requests;
        promptTokens -= other.promptTokens;
        generatedTokens -= other.generatedTokens;
        return *this;
    }
    friend work_cost operator-(work_cost a, const work_cost &b)
    {
        a -= b;
        return a;
    }
    /** True if every kind of cost is within the limit. */
    [[nodiscard]] bool fitsIn(const work_cost &limit) const
    {
        return requests <= limit.requests && promptTokens <= limit.promptTokens
            && generatedTokens <= limit.generatedTokens;
    }
    MSGPACK_DEFINE(requests, promptTokens, generatedTokens)
};

} // namespace figcleat
