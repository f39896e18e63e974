#pragma once

#include <boost/program_options.hpp>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <string>

/** The command line that all benches share. */
namespace figcleat::bench
{

struct arguments
{
    std::string subcommand;
    std::uint64_t seed = 1;
    std::uint64_t runs = 2000;
    /** Name of a mechanism to leave out, to see that its violation is found; few benches know one. */
    std::string without;
};

using subcommands = std::map<std::string, std::function<int(const arguments &)>>;

/** Runs `NAME measure|soak [--seed N] [--runs N]`; a subcommand that the bench does not have is no error. */
inline int run(int argc, char **argv, const std::string &name, const subcommands &known)
{
    namespace po = boost::program_options;
    arguments given;
    po::options_description options(name);
    options.add_options()("subcommand", po::value(&given.subcommand)->required())("seed", po::value(&given.seed))(
        "runs", po::value(&given.runs))("without", po::value(&given.without));
    const auto positions = po::positional_options_description().add("subcommand", 1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(options).positional(positions).run(), values);
        po::notify(values);
        const auto found = known.find(given.subcommand);
        if (found == known.end()) {
            std::cout << name << " has no subcommand " << given.subcommand << ".\n";
            return 0;
        }
        return found->second(given);
    } catch (const std::exception &problem) {
        std::cerr << name << ": " << problem.what() << '\n';
        return 2;
    }
}

} // namespace figcleat::bench
