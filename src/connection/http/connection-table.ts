/**
 * The client connections of all HTTP servers of a process, and what each of them holds. Decides which connection is
 * closed when clients together hold more than they may.
 */
import type { Clock, Millis } from "../../common/clock.js";

/** Why a connection was closed to admit another one or to free memory. */
export const ShedReason = {
    /** Its server had too many connections. */
    connections: "connections",
    /** Buffered bytes of all clients were over the limit. */
    heldBytes: "heldBytes",
} as const;
export type ShedReason = (typeof ShedReason)[keyof typeof ShedReason];

/** Connections that share a limit on their number. */
export interface ConnectionGroup {
    readonly name: string;
    readonly maxConnections: number;
}

/** A connection in a {@link ConnectionTable}. */
export interface ConnectionRecord {
    readonly group: ConnectionGroup;
    /** Bytes that are buffered for the client. */
    heldBytes: number;
    /** Whether the client has received a response. */
    hasBeenServed: boolean;
    /** When the server began to wait for the client; undefined while it handles a request of the client. */
    waitingSince: Millis | undefined;
    /** Closes the connection; the table forgets it when it is closed. */
    readonly shed: (reason: ShedReason) => void;
}

/** Receives each decision of a {@link ConnectionTable}. */
export interface ConnectionObserver {
    /** A client of the group needed more than there was: another connection was closed or, if none could be, its own. */
    handleShed(group: ConnectionGroup, reason: ShedReason): void;
}

/**
 * Keeps connections within their limits. Clients that let the server wait give way to others: first those that have
 * never completed a request, then those that have let it wait longest.
 */
export class ConnectionTable {
    private readonly records = new Set<ConnectionRecord>();
    private readonly countByGroup = new Map<ConnectionGroup, number>();
    private heldBytes = 0;

    /** @param maxHeldBytes - Limit of buffered bytes over all connections. */
    constructor(
        private readonly clock: Clock,
        private readonly maxHeldBytes: number,
        private readonly observer: ConnectionObserver,
    ) {}

    /**
     * Adds a connection, for which another one is closed if its group is full.
     * @returns Undefined if the connection is not accepted since all others are being served.
     */
    add(group: ConnectionGroup, shed: ConnectionRecord["shed"]): ConnectionRecord | undefined {
        if (this.count(group) >= group.maxConnections) {
            const victim = this.findVictim(record => record.group === group);
            this.observer.handleShed(group, ShedReason.connections);
            if (victim === undefined) {
                return undefined;
            }
            this.shedRecord(victim, ShedReason.connections);
        }
        const record = {
            group,
            heldBytes: 0,
            hasBeenServed: false,
            waitingSince: this.clock.now(),
            shed,
        };
        this.records.add(record);
        this.countByGroup.set(group, this.count(group) + 1);
        return record;
    }

    /** Removes a closed connection and releases what it held. */
    remove(record: ConnectionRecord): void {
        if (this.records.delete(record)) {
            this.countByGroup.set(record.group, this.count(record.group) - 1);
            this.release(record, record.heldBytes);
        }
    }

    /** Returns the number of connections of a group. */
    count(group: ConnectionGroup): number {
        return this.countByGroup.get(group) ?? 0;
    }

    /** Returns the bytes that are buffered for all clients. */
    getHeldBytes(): number {
        return this.heldBytes;
    }

    /**
     * Holds bytes for a connection; others that let the server wait are closed if there are too many.
     * @returns False if the bytes must not be held. A connection that is the only one to hold bytes may exceed the limit.
     */
    tryHold(record: ConnectionRecord, bytes: number): boolean {
        if (!this.records.has(record)) {
            return false;
        }
        while (this.heldBytes + bytes > this.maxHeldBytes && this.heldBytes > record.heldBytes) {
            const victim = this.findVictim(other => other.heldBytes > 0);
            this.observer.handleShed(record.group, ShedReason.heldBytes);
            if (victim === undefined || victim === record) {
                return false;
            }
            this.shedRecord(victim, ShedReason.heldBytes);
        }
        record.heldBytes += bytes;
        this.heldBytes += bytes;
        return true;
    }

    /** Releases bytes that a connection held. */
    release(record: ConnectionRecord, bytes: number): void {
        record.heldBytes -= bytes;
        this.heldBytes -= bytes;
    }

    /** Records that a request of the connection is complete and being handled. */
    startServing(record: ConnectionRecord): void {
        record.waitingSince = undefined;
    }

    /** Records that the server waits for the client to send or to read. */
    startWaiting(record: ConnectionRecord): void {
        record.waitingSince = this.clock.now();
    }

    private shedRecord(record: ConnectionRecord, reason: ShedReason): void {
        this.remove(record);
        record.shed(reason);
    }

    private findVictim(isCandidate: (record: ConnectionRecord) => boolean): ConnectionRecord | undefined {
        let victim: ConnectionRecord | undefined;
        for (const record of this.records) {
            const isWaiting = record.waitingSince !== undefined && isCandidate(record);
            if (isWaiting && (victim === undefined || isShedBefore(record, victim))) {
                victim = record;
            }
        }
        return victim;
    }
}

function isShedBefore(record: ConnectionRecord, other: ConnectionRecord): boolean {
    if (record.hasBeenServed !== other.hasBeenServed) {
        return !record.hasBeenServed;
    }
    return (record.waitingSince ?? Infinity) < (other.waitingSince ?? Infinity);
}
