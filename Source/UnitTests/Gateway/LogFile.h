#pragma once

#include <cstdio>
#include <memory>
#include <string>

namespace UnitTests {

struct FileClose {
    void operator()(std::FILE* file) const { std::fclose(file); }
};

// Temporary log file.
class LogFile {
public:
    int descriptor() const { return fileno(m_file.get()); }
    std::string text() const
    {
        std::string bytes;
        char buf[4096];
        std::rewind(m_file.get());
        for (std::size_t n = 0; (n = std::fread(buf, 1, sizeof buf, m_file.get())) > 0;)
            bytes.append(buf, n);
        return bytes;
    }

private:
    std::unique_ptr<std::FILE, FileClose> m_file { std::tmpfile() };
};

}
