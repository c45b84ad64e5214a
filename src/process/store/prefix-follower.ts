/**
 * Follows records under a prefix that other programs write: lists them, polls for changes from the listed
 * revision, and lists again after a gap. Values have no envelope and are passed on unchanged.
 */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { StoreAnswer, StoreChanges, StoreListing, StorePort } from "../ports/index.js";
import type { Log } from "../telemetry.js";

/** Receives the records and their changes. */
export interface PrefixListener {
    /** Receives all records: at the start, and after a gap that the store's history no longer covers. */
    replaceAll(listing: StoreListing): void;
    /** Receives one change, in the store's order; `value` is undefined for a deletion. */
    applyEvent(key: string, value: string | undefined, revision: number): void;
    /** Called after all changes of one poll have been passed on. */
    finishBatch?(): void;
}

/** Options of {@link PrefixFollower}. */
export interface PrefixFollowerOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly log: Log;
    readonly prefix: string;
    readonly listener: PrefixListener;
    /** Pause between two polls: limits the call rate and batches the changes made in the meantime. */
    readonly pauseMs: Millis;
}

/**
 * How long the store may hold a poll without changes; also the delay until a silent connection is noticed.
 */
const POLL_WAIT_MS: Millis = 1_000;
const LIST_TIMEOUT_MS: Millis = 600;
/** Limit of the list timeout, which doubles after each failed listing so that a slow store can answer. */
const MAX_LIST_TIMEOUT_MS: Millis = 5_000;
const RETRY_DELAY_MS: Millis = 100;

/** Keeps a {@link PrefixListener} up to date with the records under one prefix. */
export class PrefixFollower {
    private stopped = false;
    private position: number | undefined;
    private listTimeout = LIST_TIMEOUT_MS;
    private isStoreUnavailable = false;

    constructor(private readonly options: PrefixFollowerOptions) {}

    /** Runs until stopped. */
    async run(): Promise<void> {
        const { clock, pauseMs } = this.options;
        while (!this.stopped) {
            const ok = this.position === undefined ? await this.list() : await this.poll(this.position);
            this.reportAvailability(ok);
            await sleep(clock, ok ? pauseMs : RETRY_DELAY_MS);
        }
    }

    /** Stops following; the result of a poll in flight is ignored. */
    stop(): void {
        this.stopped = true;
    }

    private async list(): Promise<boolean> {
        const { port, prefix, listener } = this.options;
        const answer = await port.list(prefix, this.listTimeout);
        if (this.stopped) {
            return false;
        }
        if (answer.kind !== "done") {
            this.listTimeout = Math.min(MAX_LIST_TIMEOUT_MS, this.listTimeout * 2);
            return false;
        }
        this.listTimeout = LIST_TIMEOUT_MS;
        this.position = answer.value.revision;
        listener.replaceAll(answer.value);
        return true;
    }

    private async poll(position: number): Promise<boolean> {
        const { port, prefix } = this.options;
        const answer = await port.poll(prefix, position, POLL_WAIT_MS);
        if (this.stopped) {
            return false;
        }
        return this.acceptPoll(position, answer);
    }

    private acceptPoll(position: number, answer: StoreAnswer<StoreChanges>): boolean {
        if (answer.kind === "refused") {
            this.position = undefined;
            return true;
        }
        // An answer below the current position comes from a lagging replica of the store.
        if (answer.kind !== "done" || answer.value.revision < position) {
            return false;
        }
        const { listener } = this.options;
        for (const event of answer.value.events) {
            if (event.revision > position) {
                listener.applyEvent(event.key, event.value, event.revision);
            }
        }
        this.position = answer.value.revision;
        if (answer.value.events.length > 0) {
            listener.finishBatch?.();
        }
        return true;
    }

    private reportAvailability(ok: boolean): void {
        if (ok === !this.isStoreUnavailable) {
            return;
        }
        this.isStoreUnavailable = !ok;
        const { log, prefix } = this.options;
        if (ok) {
            log.info("storeRegained", { prefix });
        }
        else {
            log.warn("CR1621", "storeLost", { prefix });
        }
    }
}
