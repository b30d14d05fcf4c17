#include "support/story.h"

#include "cli/reference.h"

#include <fstream>
#include <sstream>

using namespace figpulley;

Test(docs, reference_is_up_to_date)
{
    tests::Story story;
    std::ifstream file(FIGPULLEY_SOURCE_DIR "/docs/REFERENCE.md");
    std::ostringstream text;
    text << file.rdbuf();
    story.check(text.str() == cli::referencePage(), "docs/REFERENCE.md to equal the output of `figpulley reference`");
}
