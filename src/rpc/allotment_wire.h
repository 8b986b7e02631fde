#ifndef PISTACHIOWOOD_RPC_ALLOTMENT_WIRE_H
#define PISTACHIOWOOD_RPC_ALLOTMENT_WIRE_H

#include "allotments/allotment_messages.h"
#include "rpc/peer.capnp.h"

namespace pistachiowood {

void encodeAllotmentRequest(const AllotmentRequest &request,
                            wire::Peer::AllotParams::Builder builder);
AllotmentRequest decodeAllotmentRequest(wire::Peer::AllotParams::Reader reader);
void encodeAllotmentAnswer(const AllotmentAnswer &answer,
                           wire::Peer::AllotResults::Builder builder);
AllotmentAnswer decodeAllotmentAnswer(wire::Peer::AllotResults::Reader reader);

} // namespace pistachiowood

#endif
