#pragma once

#include "settings/daemonsettings.h"
#include "store/httpcaller.h"

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>

namespace LaburnumFlow::Store {

/// Runs the stand-in of the platform's store as a child process, which is killed by the destructor.
class StoreProcess
{
public:
    StoreProcess();
    ~StoreProcess();
    StoreProcess(const StoreProcess &) = delete;
    StoreProcess &operator=(const StoreProcess &) = delete;

    /// Returns client settings with rates and a call deadline that tests do not reach.
    Settings::EtcdStoreSettings settings() const;

    /// Posts fault settings to /control of the stand-in.
    void control(const std::string &json);

    /// Returns one count of /stats.
    std::int64_t stat(const char *name);

    /// Waits up to 30 s until a count has the value. Returns false if it does not.
    bool waitForStat(const char *name, std::int64_t value);

private:
    std::string post(const char *path, const std::string &json);

    pid_t child_ = -1;
    std::uint16_t port_ = 0;
    Base::Counter secondSendings_;
    std::unique_ptr<Internal::HttpCaller> caller_;
};

} // namespace LaburnumFlow::Store
