#include "codec.h"

#include "checkedcodec.h"

namespace LaburnumFlow::Protocol {

std::vector<std::uint8_t> encode(const Datagram &datagram)
{
    return encodeValue(datagram);
}

std::vector<std::uint8_t> encode(const LinkMessage &message)
{
    return encodeValue(message);
}

boost::leaf::result<Datagram> decodeDatagram(std::span<const std::uint8_t> bytes)
{
    return decodeValue<Datagram>(bytes);
}

boost::leaf::result<LinkMessage> decodeLinkMessage(std::span<const std::uint8_t> bytes)
{
    return decodeValue<LinkMessage>(bytes);
}

} // namespace LaburnumFlow::Protocol
