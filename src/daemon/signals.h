#ifndef PISTACHIOWOOD_DAEMON_SIGNALS_H
#define PISTACHIOWOOD_DAEMON_SIGNALS_H

#include <csignal>
#include <functional>
#include <initializer_list>

namespace pistachiowood {

/// Blocks the signals in this thread and in those that it starts, so that no code runs inside a
/// signal handler. Must be called before any thread starts.
sigset_t blockSignals(std::initializer_list<int> signals);

/// Calls the handler in a separate thread for each blocked signal that arrives, until it returns
/// false. Everything the handler refers to must live as long as the process.
void watchSignals(const sigset_t &signals, std::function<bool(int signal)> handler);

} // namespace pistachiowood

#endif
