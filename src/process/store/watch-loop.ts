/**
 * Follows a prefix of the store: lists it, polls for changes from the listed revision, and lists again after
 * a gap.
 *
 * @remarks Changes are delivered exactly once and in the store's order: only the loop advances `position`, it
 * passes on only events above it, and it discards answers below it (from a lagging replica of the store).
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
 * How long the store may hold a poll. A held poll counts as one call, so longer polls cost less of the
 * budget; but an entry knows that its settings are current only from answers, even empty ones, so they must
 * arrive well within `freshMs`.
 */
const POLL_WAIT_MS = 1_000;
/** Time limit of one listing, including its retries. */
const LIST_TIMEOUT_MS = 30_000;
/** Time that a poll may wait for the call budget. */
const POLL_BUDGET_WAIT_MS = 60_000;

/** Result of one iteration of the loop; `gap`: the store no longer has the changes after `position`. */
type StepResult = "ok" | "failed" | "gap";

/** A watch on one prefix. */
export class WatchLoop implements WatchHandle {
    private stopped = false;
    /** Revision up to which the listener has received all changes; undefined until a listing succeeds. */
    private position: number | undefined;
    /** When the last poll or listing whose answer was passed on was sent. */
    private lastContact: Millis | undefined;

    constructor(
        private readonly context: OperationContext,
        private readonly prefix: string,
        private readonly listener: WatchListener,
    ) {}

    /** Runs until stopped. */
    async run(): Promise<void> {
        let failures = 0;
        while (!this.isStopped()) {
            const result = this.position === undefined ?
                await this.list() :
                await this.poll(this.position);
            failures = result === "failed" ? failures + 1 : 0;
            if (result === "gap") {
                this.position = undefined;
            }
            if (failures > 0 && !this.isStopped()) {
                await sleep(this.context.calls.clock, computeBackoff(failures, this.context.random));
            }
        }
    }

    stop(): void {
        this.stopped = true;
    }

    /**
     * Returns the instant up to which the listener has received all changes; undefined before the first
     * listing.
     */
    getLastContact(): Millis | undefined {
        return this.lastContact;
    }

    /** Returns whether the watch was stopped or the client closed. */
    isStopped(): boolean {
        return this.stopped || this.context.calls.isClosed();
    }

    private async list(): Promise<StepResult> {
        const sentAt = this.context.calls.clock.now();
        const listing = await listRecords(this.context, this.prefix, this.getDeadline(LIST_TIMEOUT_MS));
        if (this.isStopped() || listing.kind !== "done") {
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
        if (this.isStopped()) {
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

    /**
     * Passes one event on; returns false if its record cannot be decoded, which makes the loop list again.
     */
    private applyEvent(event: StoreEvent): boolean {
        const { key, value, revision } = event;
        if (value === undefined) {
            this.position = revision;
            this.listener.applyEvent(key, undefined, revision);
            return true;
        }
        const decoded = decodeRecord({ key, value, revision }, this.context.log);
        if (decoded.kind === "refused") {
            // The key may already have a newer, readable record, which a listing returns.
            this.position = undefined;
            return false;
        }
        this.position = revision;
        this.listener.applyEvent(key, decoded.value.record.value, revision);
        return true;
    }

    private getDeadline(timeout: Millis): Millis {
        return this.context.calls.clock.now() + timeout;
    }
}
