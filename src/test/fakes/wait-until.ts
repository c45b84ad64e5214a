/** Waiting for real sockets in tests: until something is so, never for a length of time. */

const POLL_MS = 2;
const GIVE_UP_MS = 8_000;

/**
 * Waits until a condition holds.
 * @param condition - Looked at every few milliseconds.
 * @param what - Named in the failure if it never holds.
 */
export async function waitUntil(condition: () => boolean, what: string): Promise<void> {
    for (let waited = 0; waited < GIVE_UP_MS; waited += POLL_MS) {
        if (condition()) {
            return;
        }
        await new Promise(resolve => {
            setTimeout(resolve, POLL_MS);
        });
    }
    throw new Error(`never came about: ${what}`);
}
