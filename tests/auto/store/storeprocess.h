#pragma once

#include "settings/daemonsettings.h"
#include "store/httpcaller.h"

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>

namespace LaburnumFlow::Store {

/// The stand-in of the platform's store as a child process, ended with this object.
class StoreProcess
{
public:
    StoreProcess();
    ~StoreProcess();
    StoreProcess(const StoreProcess &) = delete;
    StoreProcess &operator=(const StoreProcess &) = delete;

    /// Settings with generous rates and deadlines.
    Settings::EtcdStoreSettings settings() const;

    void control(const std::string &json);

    /// One count of GET /stats.
    std::int64_t stat(const char *name);

    /// Waits until a count has a value, for at most 30 s.
    bool waitForStat(const char *name, std::int64_t value);

private:
    std::string post(const char *path, const std::string &json);

    pid_t child_ = -1;
    std::uint16_t port_ = 0;
    std::unique_ptr<Internal::HttpCaller> caller_;
};

} // namespace LaburnumFlow::Store
