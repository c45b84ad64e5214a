/**
 * What an owner knows of a worker's monotonic clock, and the bound on the leases it has granted there.
 *
 * @remarks A worker's reading was taken between the sending of a call and the arrival of its answer. Taking the
 * arrival makes every instant computed here early on the worker's clock, never late.
 */
import type { Millis } from "../../common/clock.js";
import type { OrderFence } from "../ports/worker-port.js";

/** Orders are refused by the worker this long after they were sent, so that a delayed one does no harm. */
export const ORDER_WINDOW_MS: Millis = 2_000;

/** Clock and lease knowledge of one attached worker. */
export class WorkerClock {
    private reading:
        | { readonly bootId: string; readonly workerNow: Millis; readonly arrivedAt: Millis; }
        | undefined;
    private leaseBound: Millis = Number.NEGATIVE_INFINITY;

    /** @param drift - Share by which two clocks may drift apart. */
    constructor(private readonly drift: number) {}

    /** Takes a reading from a report. */
    observe(bootId: string, workerNow: Millis, arrivedAt: Millis): void {
        this.reading = { bootId, workerNow, arrivedAt };
    }

    /** Boot of the last reading. */
    getBootId(): string | undefined {
        return this.reading?.bootId;
    }

    /**
     * Builds the fence of an order.
     * @param epoch - Epoch of the slice.
     * @param latest - Instant of this entry's clock after which the worker must not take it.
     * @returns The fence, or undefined before the first reading.
     */
    buildFence(epoch: number, latest: Millis): OrderFence | undefined {
        if (this.reading === undefined) {
            return undefined;
        }
        const ahead = latest - this.reading.arrivedAt;
        return {
            epoch,
            bootId: this.reading.bootId,
            notAfter: this.reading.workerNow + ahead * (1 - this.drift),
        };
    }

    /**
     * Records that a renewal is about to be sent: it may reach the worker as late as `latest`.
     * @param latest - Latest instant at which the worker may take it.
     * @param leaseMs - Lease that it grants.
     */
    extendBound(latest: Millis, leaseMs: Millis): void {
        this.leaseBound = Math.max(this.leaseBound, latest + leaseMs * (1 + this.drift));
    }

    /** Instant by which the leases granted here have surely ended; the owner before may have granted others. */
    getLeaseBound(): Millis {
        return this.leaseBound;
    }
}
