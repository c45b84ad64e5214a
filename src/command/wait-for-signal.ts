/** Waits for the signals that ask a process to end. */

/** Signals that begin a graceful shutdown. */
const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Resolves with the first signal; a second one ends the process at once. */
export function waitForSignal(): Promise<NodeJS.Signals> {
    return new Promise(resolve => {
        for (const signal of SIGNALS) {
            process.once(signal, resolve);
        }
    });
}
