/** Logs entries of lists that other programs write and that cannot be read. */
import type { Log } from "../telemetry.js";

/** Keys that are remembered, and so logged, at most. */
const MAX_KEYS = 1_000;

/** Logs each unreadable entry once, however often it is read. */
export class UnreadableEntries {
    private readonly keys = new Set<string>();

    constructor(private readonly log: Log) {}

    /** Logs an entry unless that was done. */
    report(key: string): void {
        if (!this.keys.has(key) && this.keys.size < MAX_KEYS) {
            this.keys.add(key);
            this.log.warn("CR1642", "workerEntryUnreadable", { key });
        }
    }

    /** Forgets an entry that can be read again. */
    forget(key: string): void {
        this.keys.delete(key);
    }
}
