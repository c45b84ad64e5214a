/** A modeled VM: one processor that runs one callback at a time, and one link of limited bandwidth. */
import type { Clock, Millis, Timer } from "../../common/clock.js";

/** Size of a VM. */
export interface VmSize {
    /** Share of a core. */
    readonly cores: number;
    /** Bandwidth of its link in each direction. */
    readonly bytesPerMs: number;
}

/** Processor time, on a whole core, of any event that wakes the process. */
const EVENT_COST_MS: Millis = 0.3;
/** Processor time, on a whole core, of each kilobyte that the process reads. */
const KILOBYTE_COST_MS: Millis = 0.1;
const BYTES_PER_KILOBYTE = 1_024;
/** One-way latency between any two ends. */
const LATENCY_MS: Millis = 1;

/** Models a VM. As a {@link Clock}, it is that of the VM's process: callbacks wait for processor time. */
export class ModelVm implements Clock {
    private busyUntil: Millis = 0;
    private sendsUntil: Millis = 0;
    private receivesUntil: Millis = 0;
    private isPowered = true;

    /**
     * @param base - Clock of the whole model.
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

    /**
     * Runs a callback after all earlier work on the processor.
     * @param bytes - Number of bytes that the callback reads, which cost processor time.
     */
    run(bytes: number, callback: () => void): void {
        const cost = (EVENT_COST_MS + bytes / BYTES_PER_KILOBYTE * KILOBYTE_COST_MS) / this.size.cores;
        this.occupy(cost);
        this.base.schedule(this.busyUntil - this.base.now(), () => {
            if (this.isPowered) {
                callback();
            }
        });
    }

    /** Keeps the processor busy for a duration. */
    occupy(duration: Millis): void {
        this.busyUntil = Math.max(this.busyUntil, this.base.now()) + duration;
    }

    /**
     * Sends bytes over the VM's link.
     * @param handleArrival - Called when the last byte has crossed the network.
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
     * @param handleData - Called in the process once the bytes have arrived and it has processor time.
     */
    receive(bytes: number, handleData: () => void): void {
        const now = this.base.now();
        this.receivesUntil = Math.max(this.receivesUntil, now) + bytes / this.size.bytesPerMs;
        this.base.schedule(this.receivesUntil - now, () => this.run(bytes, handleData));
    }

    /** Loses power: from now on the VM neither runs, sends nor receives anything. */
    losePower(): void {
        this.isPowered = false;
    }

    /** Returns whether the VM has power. */
    isPoweredOn(): boolean {
        return this.isPowered;
    }
}
