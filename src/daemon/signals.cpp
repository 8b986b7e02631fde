#include "daemon/signals.h"

#include <pthread.h>

#include <thread>
#include <utility>

namespace pistachiowood {

sigset_t blockSignals(std::initializer_list<int> signals)
{
    sigset_t blocked;
    sigemptyset(&blocked);
    for (const int signal : signals)
        sigaddset(&blocked, signal);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
    return blocked;
}

void watchSignals(const sigset_t &signals, std::function<bool(int signal)> handler)
{
    std::thread([signals, handler = std::move(handler)] {
        int received = 0;
        do {
            sigwait(&signals, &received);
        } while (handler(received));
    }).detach();
}

} // namespace pistachiowood
