/**
 * Signals to a daemon. Their default action ends the process, so they are received from its first moment on, when it
 * has not read its settings yet, until it exits. Import this module before all others.
 */
import process from "node:process";

/** What a daemon does on signals. */
export interface SignalHandlers {
  /** Called at the first signal to stop; further ones change nothing. */
  onStop: (signal: NodeJS.Signals) => void;
  /** Called at each signal to reload the settings. */
  onReload?: () => void;
}

/** Signals that have come so far, and who handles them. */
interface Received {
  handlers?: SignalHandlers;
  stopSignal?: NodeJS.Signals;
  hasReloadSignal: boolean;
}

const STOP_SIGNALS: NodeJS.Signals[] = ["SIGTERM", "SIGINT", "SIGQUIT"];
/** Signals that mean nothing to a daemon; their default action would end it. */
const IGNORED_SIGNALS: NodeJS.Signals[] = ["SIGUSR2", "SIGALRM"];
/** Where the executable's entry point and its program, which are bundled apart, share what was received. */
const RECEIVED = Symbol.for("bulrushwood.signals");
const shared = globalThis as { [RECEIVED]?: Received };

/** Starts to receive signals for the process, and keeps it alive when the reader of its output goes. */
function receive(): Received {
  const received: Received = { hasReloadSignal: false };
  process.on("SIGHUP", () => {
    received.hasReloadSignal = true;
    received.handlers?.onReload?.();
  });
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => {
      if (received.stopSignal === undefined) {
        received.stopSignal = signal;
        received.handlers?.onStop(signal);
      }
    });
  }
  for (const signal of IGNORED_SIGNALS) {
    process.on(signal, () => {});
  }
  for (const output of [process.stdout, process.stderr]) {
    output.on("error", () => {});
  }
  return received;
}

/** Sets the handlers; calls them at once for the signals that have come already. */
export function handleSignals(handlers: SignalHandlers): void {
  const received = shared[RECEIVED] ??= receive();
  received.handlers = handlers;
  if (received.hasReloadSignal) {
    handlers.onReload?.();
  }
  if (received.stopSignal !== undefined) {
    handlers.onStop(received.stopSignal);
  }
}

if (process.argv.includes("serve")) {
  shared[RECEIVED] ??= receive();
}
