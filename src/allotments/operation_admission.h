#ifndef PISTACHIOWOOD_ALLOTMENTS_OPERATION_ADMISSION_H
#define PISTACHIOWOOD_ALLOTMENTS_OPERATION_ADMISSION_H

#include "allotments/allotment_holder.h"
#include "net/event_loop.h"

#include <functional>
#include <list>
#include <memory>

namespace pistachiowood {

/// Admits operations of customers in the traffic thread: asks once for each operation, before an
/// endpoint is chosen.
class OperationAdmission
{
public:
    using Callback = std::function<void(bool admitted)>;
    using Sender = std::function<void(std::vector<GroupNeeds> needs)>;
    using Ticket = std::uint64_t;

    /// Answer to a request; the callback follows only if the verdict is Wait.
    struct Verdict
    {
        AdmissionVerdict verdict = AdmissionVerdict::Admit;
        Ticket ticket = 0;
    };

    OperationAdmission(EventLoop &loop, const Clock &clock, RandomSource &random);
    ~OperationAdmission();

    void setSettings(AllotmentSettings settings);
    /// Sets how needs get to the coordinators. Without a sender every operation is admitted.
    void setSender(Sender sender);
    void setCustomers(std::shared_ptr<const CustomerDirectory> customers, std::size_t daemonCount);

    /// Asks for an operation. One that waits longer than `longestWait` is refused.
    Verdict request(const CustomerName &customer, Milliseconds longestWait, Callback callback);
    void cancel(Ticket ticket);
    /// Logs a refused operation; the number of lines is limited.
    void logRefusal(const std::string &id, const CustomerName &customer);

    void handleAnswer(const std::vector<GroupGrants> &answered,
                      const std::vector<unsigned> &failed);

private:
    struct Waiting
    {
        Ticket ticket = 0;
        CustomerName customer;
        TimePoint deadline;
        Callback callback;
    };

    void tick();
    void sendRequests();
    void resumeWaiting();
    void logCounts();

    EventLoop &loop_;
    const Clock &clock_;
    RandomSource &random_;
    std::unique_ptr<AllotmentHolder> holder_;
    std::shared_ptr<const CustomerDirectory> customers_;
    std::size_t daemonCount_ = 1;
    Sender sender_;
    std::list<Waiting> waiting_;
    Ticket lastTicket_ = 0;
    bool ticking_ = false;
    TimePoint nextLog_{};
    unsigned refusalsLogged_ = 0; ///< since the last counts
    std::map<CustomerName, AdmissionCounts> logged_;
    std::uint64_t loggedRequests_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
