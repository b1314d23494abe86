// The signal mask of a process that starts.
#include "src/base/stop_signals.h"

#include <csignal>
#include <initializer_list>

#include <pthread.h>

namespace pistachioweir {
namespace {

void Change(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, number);
  }
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void HoldStopSignals() {
  Change(SIG_BLOCK);
}

void ReleaseStopSignals() {
  Change(SIG_UNBLOCK);
}

}  // namespace pistachioweir
