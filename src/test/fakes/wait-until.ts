/** Waits for a condition in tests with real sockets, in place of a fixed sleep. */

const POLL_MS = 2;
const TIMEOUT_MS = 8_000;

/**
 * Waits until a condition holds.
 * @param condition - Checked every few milliseconds.
 * @param what - Description of the condition for the error if it does not hold in time.
 */
export async function waitUntil(condition: () => boolean, what: string): Promise<void> {
    for (let waited = 0; waited < TIMEOUT_MS; waited += POLL_MS) {
        if (condition()) {
            return;
        }
        await new Promise(resolve => {
            setTimeout(resolve, POLL_MS);
        });
    }
    throw new Error(`condition not met in time: ${what}`);
}
