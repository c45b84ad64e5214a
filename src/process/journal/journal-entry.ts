/** Events that were appended to a journal and are not yet durable. */
import type { JobEvent } from "../jobs/job-events.js";
import { encodeJobEvent } from "./records.js";

/** An appended event and its callbacks. */
export interface Entry {
    readonly event: JobEvent;
    /** The event as it is stored. */
    readonly text: string;
    readonly bytes: number;
    /** Whether it is written only together with another event, or once something waits for it. */
    readonly isDeferred: boolean;
    /** Called once the event is durable; never if it is withdrawn. */
    readonly handleCommitted: (() => void) | undefined;
    /** Called once all events up to this one are durable or withdrawn. */
    readonly waiters: (() => void)[];
    /** Whether a snapshot contains the state up to this event, so that the next goes into another record. */
    endsRecord: boolean;
}

/** Encodes an event that was appended. */
export function buildEntry(event: JobEvent, isDeferred: boolean, handleCommitted?: () => void): Entry {
    const text = encodeJobEvent(event);
    const bytes = Buffer.byteLength(text);
    return { event, text, bytes, isDeferred, handleCommitted, waiters: [], endsRecord: false };
}

/** Returns whether an event has to be written even if no other one follows. */
export function isAwaited({ isDeferred, waiters }: Entry): boolean {
    return !isDeferred || waiters.length > 0;
}

/** Adds a callback to an event; calls it at once if there is none. */
export function addWaiter(entry: Entry | undefined, notify: () => void): void {
    if (entry === undefined) {
        notify();
    }
    else {
        entry.waiters.push(notify);
    }
}
