#ifndef PISTACHIOWOOD_RPC_CONTROL_WIRE_H
#define PISTACHIOWOOD_RPC_CONTROL_WIRE_H

#include "configuration/configuration_store.h"
#include "membership/membership.h"
#include "rpc/peer.capnp.h"

namespace pistachiowood {

/// Converts control messages to and from their Cap'n Proto form. Decoding throws kj::Exception on
/// invalid values, which the RPC system returns as a failed call.
void encodeGossip(const GossipMessage &message, wire::GossipMessage::Builder builder);
GossipMessage decodeGossip(wire::GossipMessage::Reader reader);

void encodeObjects(const std::vector<StoredObject> &objects,
                   capnp::List<wire::StoredObject>::Builder builder);
std::vector<StoredObject> decodeObjects(capnp::List<wire::StoredObject>::Reader reader);

inline kj::StringPtr encodeText(const std::string &value)
{
    return {value.c_str(), value.size()};
}

inline std::string decodeText(capnp::Text::Reader value)
{
    return {value.cStr(), value.size()};
}

} // namespace pistachiowood

#endif
