#pragma once

#include "schemareader.h"

#include "base/types.h"

#include <optional>
#include <string_view>

namespace LaburnumFlow::Settings::Internal {

constexpr std::string_view anyAddress = "0.0.0.0"; ///< Address of a socket that listens on all interfaces

/// Use of an endpoint, which decides the accepted values.
enum class EndpointUse {
    Listening, ///< Any local address; port 0 lets the kernel choose a port
    Connecting, ///< Clients connect to it, so neither the address 0.0.0.0 nor port 0 is accepted
};

/// Returns the accepted form for messages.
std::string_view acceptedEndpoints(EndpointUse use);

/// Parses "IPv4:PORT". Returns nothing unless the address and port are accepted for the use.
std::optional<Base::Endpoint> parseEndpoint(std::string_view text, EndpointUse use);

/// Reads an endpoint into target. Returns whether the key is present with an accepted value.
bool readEndpoint(MapReader &reader, std::string_view key, EndpointUse use, Base::Endpoint &target);

} // namespace LaburnumFlow::Settings::Internal
