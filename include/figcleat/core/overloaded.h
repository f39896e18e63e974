#pragma once

namespace figcleat
{

/** Builds one visitor from several lambdas, for std::visit. */
template<typename... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace figcleat
