/**
 * Updates on their way to homes. A running state is sent once, since a census asks for it anyway; an end is
 * repeated until the home acknowledges it, to whichever entry owns the home slice at the time.
 */
import type { Millis, Timer } from "../../common/clock.js";
import { type TaskUpdate, TaskUpdateState } from "../../connection/messages.js";
import type { RoleContext } from "../roles.js";

/** Updates wait this long for others to share a message. */
const FLUSH_DELAY_MS: Millis = 5;
const REPEAT_MS: Millis = 2_000;
const MAX_UPDATES_PER_NOTE = 500;

/** States that a later update replaces: they need not be acknowledged. */
const PASSING_STATES: readonly TaskUpdate["state"][] = [
    TaskUpdateState.queued,
    TaskUpdateState.granted,
    TaskUpdateState.running,
];

/** Collects updates by home slice and sends them. */
export class UpdateOutbox {
    private readonly fresh = new Map<number, Map<string, TaskUpdate>>();
    /** Ends sent and not acknowledged. */
    private readonly unacknowledged = new Map<number, Map<string, TaskUpdate>>();
    private flushTimer: Timer | undefined;
    private repeatTimer: Timer | undefined;
    private closed = false;

    constructor(private readonly context: Pick<RoleContext, "clock" | "peers" | "ownership">) {
        this.scheduleRepeat();
    }

    /** Queues an update. */
    post(homeSlice: number, update: TaskUpdate): void {
        putInto(this.fresh, homeSlice, update);
        this.flushTimer ??= this.context.clock.schedule(FLUSH_DELAY_MS, () => this.flush());
    }

    /** Drops what is known of an attempt, because its home knows its end or asked for it to be forgotten. */
    drop(homeSlice: number, attempt: string): void {
        this.fresh.get(homeSlice)?.delete(attempt);
        this.unacknowledged.get(homeSlice)?.delete(attempt);
    }

    close(): void {
        this.closed = true;
        this.flushTimer?.cancel();
        this.repeatTimer?.cancel();
    }

    /** Sends what is queued now. */
    flush(): void {
        this.flushTimer = undefined;
        for (const [homeSlice, updates] of this.fresh) {
            this.fresh.delete(homeSlice);
            const sent = this.send(homeSlice, [...updates.values()]);
            for (const update of updates.values()) {
                if (!sent || needsAcknowledgement(update)) {
                    putInto(this.unacknowledged, homeSlice, update);
                }
            }
        }
    }

    private scheduleRepeat(): void {
        this.repeatTimer = this.context.clock.schedule(REPEAT_MS, () => {
            for (const [homeSlice, updates] of this.unacknowledged) {
                this.send(homeSlice, [...updates.values()]);
                this.dropSent(homeSlice, updates);
            }
            if (!this.closed) {
                this.scheduleRepeat();
            }
        });
    }

    private dropSent(homeSlice: number, updates: Map<string, TaskUpdate>): void {
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
        for (let start = 0; start < updates.length; start += MAX_UPDATES_PER_NOTE) {
            const part = updates.slice(start, start + MAX_UPDATES_PER_NOTE);
            sent = this.context.peers.note(owner.memberId, { kind: "updates", homeSlice, updates: part }) &&
                sent;
        }
        return sent;
    }
}

function needsAcknowledgement(update: TaskUpdate): boolean {
    return !PASSING_STATES.includes(update.state);
}

function putInto(index: Map<number, Map<string, TaskUpdate>>, homeSlice: number, update: TaskUpdate): void {
    const updates = index.get(homeSlice) ?? new Map<string, TaskUpdate>();
    updates.set(update.attempt, update);
    index.set(homeSlice, updates);
}
