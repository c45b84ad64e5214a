/** The outgoing link of one VM: what is sent waits until everything before it has been sent. */
import type { Clock, Millis } from "../../common/clock.js";

/** Bytes of the headers of a call, of its packets, and of the acknowledgement of its answer. */
const CALL_OVERHEAD_BYTES = 300;

/** A link of limited bandwidth. */
export class NarrowLink {
    /** Bytes sent so far. */
    sentBytes = 0;
    private sendsUntil: Millis = 0;

    /** @param bytesPerMs - Its bandwidth. */
    constructor(private readonly clock: Clock, private readonly bytesPerMs: number) {}

    /**
     * Sends a call.
     * @param body - Its body, which is encoded as JSON.
     * @returns The time until its last byte has been sent.
     */
    send(body: unknown): Millis {
        return this.sendBytes(CALL_OVERHEAD_BYTES + JSON.stringify(body).length);
    }

    /**
     * Sends bytes of other connections.
     * @returns The time until the last one has been sent.
     */
    sendBytes(bytes: number): Millis {
        const now = this.clock.now();
        this.sentBytes += bytes;
        this.sendsUntil = Math.max(this.sendsUntil, now) + bytes / this.bytesPerMs;
        return this.sendsUntil - now;
    }
}
