#pragma once

#include "tasktable.h"

#include <microhttpd.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace LaburnumFlow::BackendStandin {

/// The HTTP side of the backend server: section 7 of the design page and POST /control for tests.
class HttpFront
{
public:
    /// Port 0 takes the kernel's choice. A failed start leaves port() at 0.
    HttpFront(TaskTable &table, std::uint16_t port, bool hang);
    ~HttpFront();
    HttpFront(const HttpFront &) = delete;
    HttpFront &operator=(const HttpFront &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// Refuses new tasks and returns once every task accepted has been answered.
    void drain();

private:
    struct Request {
        std::string body;
        bool handled = false;
        bool startsTask = false;
        Reply reply; ///< written before the connection is resumed
    };

    static MHD_Result onRequest(void *self,
                                MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char *version,
                                const char *data,
                                std::size_t *size,
                                void **context);
    static void onCompleted(void *self, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code);

    MHD_Result handle(MHD_Connection *connection, Request &request, std::string_view url, std::string_view method);
    void startTask(MHD_Connection *connection, Request &request, const std::string &id, const nlohmann::json &body);
    void suspendForever(MHD_Connection *connection);
    Reply route(std::string_view url, std::string_view method, const nlohmann::json &body);
    Reply control(const nlohmann::json &body);
    static MHD_Result answer(MHD_Connection *connection, const Reply &reply);

    TaskTable &table_;
    std::atomic<bool> hang_;
    std::atomic<bool> ending_{false};
    std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t openTasks_ = 0;
    std::set<MHD_Connection *> hung_;
    MHD_Daemon *daemon_ = nullptr;
    std::uint16_t port_ = 0;
};

} // namespace LaburnumFlow::BackendStandin
