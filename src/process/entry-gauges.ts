/** Gauges of an entry: utilization of its workers, waiting work, and its own processor and memory use. */
import type { Clock, Millis } from "../common/clock.js";
import type { PlacerLoad } from "../connection/messages.js";
import type { Metrics } from "./telemetry.js";

const INTERVAL_MS: Millis = 5_000;
const MICROS_PER_MILLI = 1_000;
const MEBIBYTE = 2 ** 20;

/** Sends the gauges of one entry, at most once per {@link INTERVAL_MS}. */
export class EntryGauges {
    private lastAt = Number.NEGATIVE_INFINITY;
    private lastCpuMicros = 0;

    constructor(
        private readonly clock: Clock,
        private readonly metrics: Metrics,
    ) {}

    /**
     * Sends the gauges if they are due.
     * @param load - Current load of the placer.
     */
    record(load: PlacerLoad): void {
        const now = this.clock.now();
        if (now - this.lastAt < INTERVAL_MS) {
            return;
        }
        this.recordPacking(load);
        this.recordCost(now);
        this.lastAt = now;
    }

    private recordPacking(load: PlacerLoad): void {
        for (const dimension of ["cpuMillis", "memoryMib", "accelerators"] as const) {
            const total = load.total[dimension];
            if (total > 0) {
                this.metrics.gauge("placer.packing", 1 - load.free[dimension] / total, { dimension });
            }
        }
        this.metrics.gauge("placer.workers", load.workers);
        this.metrics.gauge("placer.slots_free", load.freeSlots);
        this.metrics.gauge("placer.requests_waiting", load.queuedRequests);
        this.metrics.gauge("placer.tasks_waiting", load.queuedTasks);
    }

    private recordCost(now: Millis): void {
        const { user, system } = process.cpuUsage();
        const micros = user + system;
        if (Number.isFinite(this.lastAt)) {
            const share = (micros - this.lastCpuMicros) / MICROS_PER_MILLI / (now - this.lastAt);
            this.metrics.gauge("entry.cpu_share", share);
        }
        this.lastCpuMicros = micros;
        this.metrics.gauge("entry.resident_mib", process.memoryUsage.rss() / MEBIBYTE);
    }
}
