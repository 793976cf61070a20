#pragma once

#include "checkedcodec.h"
#include "messages.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace LaburnumFlow::Protocol {

/// Serializes a message by encodeValue().
std::vector<std::uint8_t> encode(const Datagram &datagram);
std::vector<std::uint8_t> encode(const LinkMessage &message);

/// Decodes a message by decodeValue(). Fails with MalformedMessage.
boost::leaf::result<Datagram> decodeDatagram(std::span<const std::uint8_t> bytes);
boost::leaf::result<LinkMessage> decodeLinkMessage(std::span<const std::uint8_t> bytes);

} // namespace LaburnumFlow::Protocol
