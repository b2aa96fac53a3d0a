#ifndef FIGWELL_APPS_CONTROLLER_DAEMON_H_
#define FIGWELL_APPS_CONTROLLER_DAEMON_H_

#include <memory>

#include "figwell/config.h"
#include "figwell/core.h"

namespace figwell::controller {

/**
 * The controller process: one thread that owns the store client, the version
 * log, the domain's placement and the administration API.
 */
class Daemon {
 public:
  explicit Daemon(config::Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Runs until SIGTERM or SIGINT; fails if it cannot start. */
  Result<void> Run();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace figwell::controller

#endif  // FIGWELL_APPS_CONTROLLER_DAEMON_H_
