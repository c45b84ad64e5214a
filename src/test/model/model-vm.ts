/** A VM of a model: one processor that does one thing at a time, and one link of a given bandwidth. */
import type { Clock, Millis, Timer } from "../../common/clock.js";

/** Size of a VM. */
export interface VmSize {
    /** Share of a core. */
    readonly cores: number;
    /** Bandwidth of its link, each way. */
    readonly bytesPerMs: number;
}

/** Processor time, on a whole core, of anything that wakes the process. */
const EVENT_COST_MS: Millis = 0.3;
/** The same for each kilobyte that it reads. */
const KILOBYTE_COST_MS: Millis = 0.1;
const BYTES_PER_KILOBYTE = 1_024;
/** One way, between any two ends. */
const LATENCY_MS: Millis = 1;

/** The VM; see the module comment. As a {@link Clock} it is that of the process on it. */
export class ModelVm implements Clock {
    private busyUntil: Millis = 0;
    private sendsUntil: Millis = 0;
    private receivesUntil: Millis = 0;
    private isPowered = true;

    /**
     * @param base - The clock of the whole model.
     * @param size - Of the VM.
     */
    constructor(private readonly base: Clock, readonly size: VmSize) {}

    now(): Millis {
        return this.base.now();
    }

    wallNow(): Millis {
        return this.base.wallNow();
    }

    schedule(delay: Millis, callback: () => void): Timer {
        let isCancelled = false;
        const timer = this.base.schedule(delay, () =>
            this.run(0, () => {
                if (!isCancelled) {
                    callback();
                }
            }));
        return {
            cancel() {
                isCancelled = true;
                timer.cancel();
            },
        };
    }

    /** Runs a callback once everything before it has had its processor time. */
    run(bytes: number, callback: () => void): void {
        const cost = (EVENT_COST_MS + bytes / BYTES_PER_KILOBYTE * KILOBYTE_COST_MS) / this.size.cores;
        this.occupy(cost);
        this.base.schedule(this.busyUntil - this.base.now(), () => {
            if (this.isPowered) {
                callback();
            }
        });
    }

    /** Keeps the processor from all else for a while. */
    occupy(duration: Millis): void {
        this.busyUntil = Math.max(this.busyUntil, this.base.now()) + duration;
    }

    /**
     * Sends bytes out over the VM's link.
     * @param handleArrival - Called when the last byte has left the link and crossed the network.
     */
    send(bytes: number, handleArrival: () => void): void {
        if (!this.isPowered) {
            return;
        }
        const now = this.base.now();
        this.sendsUntil = Math.max(this.sendsUntil, now) + bytes / this.size.bytesPerMs;
        this.base.schedule(this.sendsUntil + LATENCY_MS - now, handleArrival);
    }

    /**
     * Receives bytes over the VM's link.
     * @param handleData - Called by the process once they are through the link and it comes to them.
     */
    receive(bytes: number, handleData: () => void): void {
        const now = this.base.now();
        this.receivesUntil = Math.max(this.receivesUntil, now) + bytes / this.size.bytesPerMs;
        this.base.schedule(this.receivesUntil - now, () => this.run(bytes, handleData));
    }

    /** Loses power: nothing more is done, sent or heard. */
    losePower(): void {
        this.isPowered = false;
    }

    /** Tells whether it has power. */
    isOn(): boolean {
        return this.isPowered;
    }
}
