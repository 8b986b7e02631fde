#ifndef PISTACHIOWOOD_RPC_PEER_RPC_H
#define PISTACHIOWOOD_RPC_PEER_RPC_H

#include "allotments/allotment_messages.h"
#include "net/event_loop.h"
#include "takeover/peer_report.h"

#include <functional>
#include <memory>

namespace pistachiowood {

/// Exchanges reports and allotments between daemons over Cap'n Proto RPC. The handler and the
/// callbacks run in the loop's thread.
class PeerRpc final : public PeerChannel, public AllotmentChannel
{
public:
    using Handler = std::function<PeerReport(const PeerReport &)>;

    PeerRpc(EventLoop &loop, Handler handler);
    ~PeerRpc() override;

    using AllotmentHandler = std::function<AllotmentAnswer(const AllotmentRequest &)>;
    /// Sets the coordinator of this daemon; must be called before listen().
    void setAllotmentHandler(AllotmentHandler handler);

    Result<void> listen(const SocketAddress &address);
    std::uint16_t port() const;

    void exchange(const SocketAddress &peer, const PeerReport &report, Milliseconds timeout,
                  PeerChannel::Callback callback) override;
    void requestAllotments(const SocketAddress &peer, const AllotmentRequest &request,
                           Milliseconds timeout, AllotmentChannel::Callback callback) override;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
