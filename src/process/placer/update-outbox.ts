/**
 * Queue of updates to homes. A transient state is sent once, because a census asks for it anyway. A final
 * state is resent until the home acknowledges it, to whichever entry owns the home slice at the time.
 */
import type { Millis, Timer } from "../../common/clock.js";
import { type TaskUpdate, TaskUpdateState } from "../../connection/messages.js";
import type { RoleContext } from "../roles.js";

/** Delay before a flush, so that several updates share a message. */
const FLUSH_DELAY_MS: Millis = 5;
const REPEAT_INTERVAL_MS: Millis = 2_000;
const MAX_UPDATES_PER_MESSAGE = 500;

/** States that a later update replaces, so they need no acknowledgement. */
const TRANSIENT_STATES: readonly TaskUpdate["state"][] = [
    TaskUpdateState.queued,
    TaskUpdateState.granted,
    TaskUpdateState.running,
];

/** Batches updates by home slice and sends them. */
export class UpdateOutbox {
    private readonly queued = new Map<number, Map<string, TaskUpdate>>();
    /** Final updates sent and not acknowledged, and updates that could not be sent. */
    private readonly unacknowledged = new Map<number, Map<string, TaskUpdate>>();
    private flushTimer: Timer | undefined;
    private repeatTimer: Timer | undefined;
    private closed = false;

    constructor(private readonly context: Pick<RoleContext, "clock" | "peers" | "ownership">) {
        this.scheduleRepeat();
    }

    /** Queues an update, replacing a queued one of the same attempt. */
    post(homeSlice: number, update: TaskUpdate): void {
        putInto(this.queued, homeSlice, update);
        this.flushTimer ??= this.context.clock.schedule(FLUSH_DELAY_MS, () => this.flush());
    }

    /**
     * Drops the updates of an attempt: its home has acknowledged the end, or the next owner of its worker
     * reports it.
     */
    drop(homeSlice: number, attempt: string): void {
        this.queued.get(homeSlice)?.delete(attempt);
        this.unacknowledged.get(homeSlice)?.delete(attempt);
    }

    close(): void {
        this.closed = true;
        this.flushTimer?.cancel();
        this.repeatTimer?.cancel();
    }

    /** Sends the queued updates immediately. */
    flush(): void {
        this.flushTimer = undefined;
        for (const [homeSlice, updates] of this.queued) {
            this.queued.delete(homeSlice);
            const sent = this.send(homeSlice, [...updates.values()]);
            for (const update of updates.values()) {
                if (!sent || needsAcknowledgement(update)) {
                    putInto(this.unacknowledged, homeSlice, update);
                }
            }
        }
    }

    private scheduleRepeat(): void {
        this.repeatTimer = this.context.clock.schedule(REPEAT_INTERVAL_MS, () => {
            for (const [homeSlice, updates] of this.unacknowledged) {
                this.send(homeSlice, [...updates.values()]);
                this.dropTransient(homeSlice, updates);
            }
            if (!this.closed) {
                this.scheduleRepeat();
            }
        });
    }

    private dropTransient(homeSlice: number, updates: Map<string, TaskUpdate>): void {
        for (const update of [...updates.values()]) {
            if (!needsAcknowledgement(update)) {
                updates.delete(update.attempt);
            }
        }
        if (updates.size === 0) {
            this.unacknowledged.delete(homeSlice);
        }
    }

    private send(homeSlice: number, updates: readonly TaskUpdate[]): boolean {
        const owner = this.context.ownership.getHomeSliceOwner(homeSlice);
        if (owner === undefined) {
            return false;
        }
        let sent = true;
        for (let start = 0; start < updates.length; start += MAX_UPDATES_PER_MESSAGE) {
            const part = updates.slice(start, start + MAX_UPDATES_PER_MESSAGE);
            sent = this.context.peers.notify(owner.memberId, { kind: "updates", homeSlice, updates: part }) &&
                sent;
        }
        return sent;
    }
}

function needsAcknowledgement(update: TaskUpdate): boolean {
    return !TRANSIENT_STATES.includes(update.state);
}

function putInto(index: Map<number, Map<string, TaskUpdate>>, homeSlice: number, update: TaskUpdate): void {
    const updates = index.get(homeSlice) ?? new Map<string, TaskUpdate>();
    updates.set(update.attempt, update);
    index.set(homeSlice, updates);
}
