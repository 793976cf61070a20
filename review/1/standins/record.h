#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Review {

/// Writes what a case sends, gets answered and runs to a text file, one event a line with the seconds since the case began.
class Record
{
public:
    explicit Record(const std::string &path) : file_(path) { }

    void write(const std::string &line)
    {
        const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin_;
        const std::lock_guard lock(mutex_);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f  ", passed.count());
        file_ << stamp << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
};

} // namespace Review
