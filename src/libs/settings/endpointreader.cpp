#include "endpointreader.h"

#include <arpa/inet.h>

#include <charconv>

namespace LaburnumFlow::Settings::Internal {

std::string_view acceptedEndpoints(EndpointUse use)
{
    return use == EndpointUse::Listening ? "IPv4:PORT with a port from 0 to 65535" : "IPv4:PORT other than 0.0.0.0, with a port from 1 to 65535";
}

std::optional<Base::Endpoint> parseEndpoint(std::string_view text, EndpointUse use)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Base::Endpoint endpoint{std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    in_addr parsed{};
    if (error != std::errc() || end != port.data() + port.size() || inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    if (use == EndpointUse::Connecting && (endpoint.port == 0 || endpoint.address == anyAddress)) {
        return std::nullopt;
    }
    return endpoint;
}

bool readEndpoint(MapReader &reader, std::string_view key, EndpointUse use, Base::Endpoint &target)
{
    std::string text;
    if (!reader.text(key, text)) {
        return false;
    }
    const auto endpoint = parseEndpoint(text, use);
    if (!endpoint) {
        reader.fault(key, "'" + text + "' is not an accepted endpoint", std::string(acceptedEndpoints(use)));
        return false;
    }
    target = *endpoint;
    return true;
}

} // namespace LaburnumFlow::Settings::Internal
