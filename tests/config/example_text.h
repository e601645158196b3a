#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace cactusloom {

// The text of a document in examples/.
inline std::string read_example(const std::string& name)
{
    std::ifstream file(std::string(EXAMPLES_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace cactusloom
