#include "figcleat/cli/commands.h"

int main(int argc, char **argv)
{
    return figcleat::cli::run(argc, argv);
}
