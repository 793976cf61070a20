#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct MHD_Daemon;

namespace PlatformSite {

struct StandInRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
};

struct StandInReply {
    int status = 200; ///< 0: the connection is closed without an answer
    std::string body;
    bool reset = false; ///< the connection is reset without an answer
};

/// An HTTP server on the loopback address with a thread per connection, so that handlers may wait.
class StandInServer
{
public:
    using Handler = std::function<StandInReply(const StandInRequest &)>;

    /// Throws std::runtime_error if it cannot listen.
    explicit StandInServer(Handler handler);
    ~StandInServer();
    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;

    std::string endpoint() const;

    /// Open connections are closed.
    void stop();

    const Handler &handler() const
    {
        return handler_;
    }

private:
    Handler handler_;
    MHD_Daemon *daemon_ = nullptr;
};

} // namespace PlatformSite
