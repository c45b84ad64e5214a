/**
 * An owner's estimate of a worker's monotonic clock, and the bound on the leases it has granted to that
 * worker.
 *
 * @remarks A worker reads its clock between the sending of a call and the arrival of the answer. Pairing the
 * reading with the arrival time makes every deadline computed here early on the worker's clock, never late.
 */
import type { Millis } from "../../common/clock.js";
import type { OrderFence } from "../ports/worker-port.js";

/**
 * How long after sending a worker still accepts an order; later it refuses it, so delayed orders do no harm.
 */
export const ORDER_WINDOW_MS: Millis = 2_000;

/** Clock estimate and lease bound of one worker. */
export class WorkerClock {
    private reading:
        | { readonly bootId: string; readonly workerNow: Millis; readonly arrivedAt: Millis; }
        | undefined;
    private leaseBound: Millis = Number.NEGATIVE_INFINITY;

    /** @param drift - Largest relative drift between two clocks, as a fraction. */
    constructor(private readonly drift: number) {}

    /** Records the worker's clock as read in a report. */
    observe(bootId: string, workerNow: Millis, arrivedAt: Millis): void {
        this.reading = { bootId, workerNow, arrivedAt };
    }

    /** Boot id of the last reading, or undefined before the first. */
    getBootId(): string | undefined {
        return this.reading?.bootId;
    }

    /**
     * Builds the fence of an order.
     * @param epoch - Epoch of the slice.
     * @param latest - Time on this entry's clock after which the worker must not accept the order.
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
     * Raises the lease bound for a lease that the worker may be granted as late as `latest`.
     * @param latest - Time on this entry's clock.
     * @param leaseMs - Duration of the lease.
     */
    extendLeaseBound(latest: Millis, leaseMs: Millis): void {
        this.leaseBound = Math.max(this.leaseBound, latest + leaseMs * (1 + this.drift));
    }

    /** Time by which all leases granted here have ended; a previous owner may have granted others. */
    getLeaseBound(): Millis {
        return this.leaseBound;
    }
}
