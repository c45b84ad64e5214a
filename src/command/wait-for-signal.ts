/** Waits for a termination signal. */

/** Signals that begin a graceful shutdown. */
const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Resolves with the first signal. The same signal sent again terminates the process: its handler is gone. */
export function waitForSignal(): Promise<NodeJS.Signals> {
    return new Promise(resolve => {
        for (const signal of SIGNALS) {
            process.once(signal, resolve);
        }
    });
}
