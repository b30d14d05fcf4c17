#include "cli/command.h"

#include <ace/Init_ACE.h>

/// Entry point: initializes ACE and runs the command line.
int main(int argc, char **argv)
{
    ACE::init();
    const int code = figpulley::cli::runCommandLine({argv + 1, argv + argc});
    ACE::fini();
    return code;
}
