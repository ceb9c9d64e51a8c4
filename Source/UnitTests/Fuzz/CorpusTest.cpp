#include <filesystem>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "Targets.h"

TEST_CASE("every input of the fuzz corpora passes")
{
    for (const auto& target : Fuzz::targets()) {
        int inputs = 0;
        for (const auto& file : std::filesystem::directory_iterator(std::filesystem::path(CORPUS_DIR) / target.name)) {
            CAPTURE(file.path().string());
            std::ifstream in(file.path(), std::ios::binary);
            std::ostringstream buf;
            buf << in.rdbuf();
            target.run(buf.str());
            ++inputs;
        }
        CAPTURE(target.name);
        CHECK(inputs > 0);
    }
}
