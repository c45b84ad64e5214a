/**
 * Follows the records under a prefix that others write: lists, then polls from the revision reached, and lists
 * again after a gap. Values are passed on as they stand.
 */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { StoreAnswer, StoreChanges, StoreListing, StorePort } from "../ports/index.js";
import type { Log } from "../telemetry.js";

/** Told of the records. */
export interface PrefixListener {
    /** All records: at the start, and after a gap that the history no longer covers. */
    replaceAll(listing: StoreListing): void;
    /** One change, in the order of the store. */
    applyEvent(key: string, value: string | undefined): void;
    /** The changes of one answer have all been passed on. */
    finishBatch?(): void;
}

/** What a follower is made from. */
export interface PrefixFollowerOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly log: Log;
    readonly prefix: string;
    readonly listener: PrefixListener;
    /** Pause between two polls: it bounds the calls, and changes of the pause come together. */
    readonly pauseMs: Millis;
}

/** How long the store may hold a poll: a connection that went silent is noticed this much later. */
const POLL_WAIT_MS: Millis = 1_000;
const LIST_TIMEOUT_MS: Millis = 600;
/** A slow store is given more time after each timeout, up to this. */
const LONGEST_LIST_TIMEOUT_MS: Millis = 5_000;
const RETRY_PAUSE_MS: Millis = 100;

/** A follower; see the module comment. */
export class PrefixFollower {
    private stopped = false;
    private position: number | undefined;
    private listTimeout = LIST_TIMEOUT_MS;
    private isAway = false;

    constructor(private readonly options: PrefixFollowerOptions) {}

    /** Runs until stopped. */
    async run(): Promise<void> {
        const { clock, pauseMs } = this.options;
        while (!this.stopped) {
            const ok = this.position === undefined ? await this.list() : await this.poll(this.position);
            this.reportChange(ok);
            await sleep(clock, ok ? pauseMs : RETRY_PAUSE_MS);
        }
    }

    /** Follows no more; a poll under way ends unheard. */
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
            this.listTimeout = Math.min(LONGEST_LIST_TIMEOUT_MS, this.listTimeout * 2);
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
        // An answer that ends before our position comes from a copy that lags.
        if (answer.kind !== "done" || answer.value.revision < position) {
            return false;
        }
        const { listener } = this.options;
        for (const event of answer.value.events) {
            if (event.revision > position) {
                listener.applyEvent(event.key, event.value);
            }
        }
        this.position = answer.value.revision;
        if (answer.value.events.length > 0) {
            listener.finishBatch?.();
        }
        return true;
    }

    private reportChange(ok: boolean): void {
        if (ok === !this.isAway) {
            return;
        }
        this.isAway = !ok;
        const { log, prefix } = this.options;
        if (ok) {
            log.info("storeRegained", { prefix });
        }
        else {
            log.warn("CR1621", "storeLost", { prefix });
        }
    }
}
