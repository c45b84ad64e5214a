/**
 * Follows a prefix of the store: lists, then polls from the revision reached, and lists again after a gap.
 *
 * @remarks Changes arrive in the store's order, each once: the loop alone moves `position`, passes only events
 * above it, and discards answers that end below it (a copy of the store that lags).
 */
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { StoreChanges, StoreEvent } from "../ports/index.js";
import type { WatchHandle, WatchListener } from "../store-client.js";
import { computeBackoff } from "./backoff.js";
import { listRecords } from "./read-operation.js";
import type { OperationContext } from "./read-operation.js";
import { decodeRecord } from "./record-codec.js";

/**
 * How long the store may hold a poll. A waiting poll counts as one call, so longer is cheaper; but an answer, even an
 * empty one, is what tells an entry that its settings are current, so it must come well within `freshMs`.
 */
const POLL_WAIT_MS = 1_000;
/** Time for one listing with its retries. */
const LIST_PATIENCE_MS = 30_000;
/** Time that a poll may wait for the budget, in milliseconds. */
const POLL_BUDGET_WAIT_MS = 60_000;

/** What a step of the loop came to. */
type StepResult = "ok" | "failed" | "gap";

/** One watch. */
export class WatchLoop implements WatchHandle {
    private stopped = false;
    /** Revision up to which the listener knows everything; undefined before the listing. */
    private position: number | undefined;
    /** Sending of the last poll or listing that was answered and passed on. */
    private lastContact: Millis | undefined;

    /**
     * @param context - The store and its helpers.
     * @param prefix - Keys to follow.
     * @param listener - Told of changes.
     */
    constructor(
        private readonly context: OperationContext,
        private readonly prefix: string,
        private readonly listener: WatchListener,
    ) {}

    /** Runs until stopped. */
    async run(): Promise<void> {
        let failures = 0;
        while (!this.isOver()) {
            const result = this.position === undefined ?
                await this.list() :
                await this.poll(this.position);
            failures = result === "failed" ? failures + 1 : 0;
            if (result === "gap") {
                this.position = undefined;
            }
            if (failures > 0 && !this.isOver()) {
                await sleep(this.context.calls.clock, computeBackoff(failures, this.context.random));
            }
        }
    }

    stop(): void {
        this.stopped = true;
    }

    /** Returns the instant up to which the listener surely knows all changes. */
    getLastContact(): Millis | undefined {
        return this.lastContact;
    }

    /** Tells whether it no longer runs. */
    isOver(): boolean {
        return this.stopped || this.context.calls.isClosed();
    }

    private async list(): Promise<StepResult> {
        const sentAt = this.context.calls.clock.now();
        const listing = await listRecords(this.context, this.prefix, this.getDeadline(LIST_PATIENCE_MS));
        if (this.isOver() || listing.kind !== "done") {
            return "failed";
        }
        this.position = listing.value.revision;
        this.listener.replaceAll(listing.value);
        this.lastContact = sentAt;
        return "ok";
    }

    private async poll(position: number): Promise<StepResult> {
        const { calls } = this.context;
        const sentAt = calls.clock.now();
        const wait = Math.max(POLL_WAIT_MS, calls.getTimeout());
        const answer = await calls.request(
            { kind: "polls", deadline: this.getDeadline(POLL_BUDGET_WAIT_MS), timeout: wait },
            (port, timeout) => port.poll(this.prefix, position, timeout),
        );
        if (this.isOver()) {
            return "failed";
        }
        if (answer.kind === "refused") {
            return answer.reason === "compacted" ? "gap" : "failed";
        }
        return answer.kind === "done" ? this.applyChanges(position, answer.value, sentAt) : "failed";
    }

    private applyChanges(position: number, changes: StoreChanges, sentAt: Millis): StepResult {
        if (changes.revision < position) {
            return "failed";
        }
        this.context.calls.observeRevision(changes.revision);
        for (const event of changes.events) {
            if (event.revision > (this.position ?? position) && !this.applyEvent(event)) {
                return "failed";
            }
        }
        this.position = changes.revision;
        this.lastContact = sentAt;
        return "ok";
    }

    /** Passes one event on; false if its record is refused, and then the loop stays in front of it. */
    private applyEvent(event: StoreEvent): boolean {
        const { key, value, revision } = event;
        if (value === undefined) {
            this.position = revision;
            this.listener.applyEvent(key, undefined, revision);
            return true;
        }
        const unwrapped = decodeRecord({ key, value, revision }, this.context.log);
        if (unwrapped.kind === "refused") {
            // A later, readable record of the key may already stand there: a listing shows it.
            this.position = undefined;
            return false;
        }
        this.position = revision;
        this.listener.applyEvent(key, unwrapped.value.record.value, revision);
        return true;
    }

    private getDeadline(patience: Millis): Millis {
        return this.context.calls.clock.now() + patience;
    }
}
