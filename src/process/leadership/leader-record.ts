/** Reads the leader's record from the store, and claims the leadership with a compare-and-swap of it. */
import type { Millis } from "../../common/clock.js";
import { ALIVE_KEY, LEADER_KEY, LEADER_PREFIX } from "../journal/keys.js";
import type { StorePort, StoreRecord } from "../ports/index.js";

/**
 * Number of epochs that each takeover reserves. A leader uses those above its own to tell the incarnations of a
 * worker apart: see `worker-successions.ts`.
 */
export const EPOCH_STRIDE = 1_000;
const FIRST_EPOCH = 1;

/** The leader's record, stored as JSON. */
export interface LeaderRecord {
    /** Increases with each takeover. Workers and the store refuse requests of a lower epoch. */
    readonly epoch: number;
    readonly nodeName: string;
    /** `host:port` at which the leader accepts connections. */
    readonly address: string;
    /** Unique for each incarnation of a process. */
    readonly life: string;
    /** Processor time of the leader's VM, in cores. */
    readonly cores?: number;
    /**
     * Number of consecutive earlier leaders that were replaced without having been seen to load the journal.
     */
    readonly failedBefore?: number;
}

/** The leadership as read from the store. */
export interface LeaderView {
    readonly record: LeaderRecord | undefined;
    /** Revision of the record; 0 if there is none. */
    readonly revision: number;
    /** Whether the leader's lease in the store is valid. */
    readonly isAlive: boolean;
}

/** Result of a claim of the leadership. */
export type ClaimResult =
    | {
        readonly kind: "won";
        readonly revision: number;
        readonly epoch: number;
        /** Epoch of the leader before; 0 if there was none. */
        readonly previousEpoch: number;
    }
    | { readonly kind: "lost"; }
    /** The store did not answer: read the record again to find out. */
    | { readonly kind: "unknown"; };

/**
 * Reads the leader's record and whether its lease is valid.
 * @returns Undefined if the store does not answer.
 * @throws An error with the key if the record is malformed: claiming over it would restart the epochs at 1.
 */
export async function readLeader(port: StorePort, timeout: Millis): Promise<LeaderView | undefined> {
    const answer = await port.list(LEADER_PREFIX, timeout);
    if (answer.kind !== "done") {
        return undefined;
    }
    const find = (key: string): StoreRecord | undefined =>
        answer.value.records.find(entry => entry.key === key);
    const entry = find(LEADER_KEY);
    return {
        record: entry === undefined ? undefined : decodeLeaderRecord(entry),
        revision: entry?.revision ?? 0,
        isAlive: find(ALIVE_KEY) !== undefined,
    };
}

function decodeLeaderRecord({ key, value }: StoreRecord): LeaderRecord {
    const record = parseJson(value) as LeaderRecord | undefined;
    if (typeof record?.epoch !== "number" || typeof record.address !== "string") {
        throw new Error(`the leader's record at ${key} cannot be read: remove the key if no node leads`);
    }
    return record;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/**
 * Claims the leadership: writes a record with a higher epoch if the record is unchanged since it was read.
 *
 * @remarks Safe at any time, even while the current leader is healthy: from that write on, the store refuses
 * the earlier leader's writes, and workers that receive the new epoch refuse its orders.
 * @param view - The leadership as last read.
 * @param own - Record of the claiming node.
 * @param timeout - Timeout of the single attempt.
 */
export async function claimLeadership(
    port: StorePort,
    view: LeaderView,
    own: Omit<LeaderRecord, "epoch">,
    timeout: Millis,
): Promise<ClaimResult> {
    const previousEpoch = view.record?.epoch ?? 0;
    const epoch = previousEpoch === 0 ? FIRST_EPOCH : previousEpoch + EPOCH_STRIDE;
    const value = JSON.stringify({ epoch, ...own } satisfies LeaderRecord);
    const answer = await port.transact(
        {
            conditions: [{ key: LEADER_KEY, revision: view.revision }],
            writes: [{ key: LEADER_KEY, value }],
            removals: [],
        },
        timeout,
    );
    if (answer.kind === "done") {
        return { kind: "won", revision: answer.value, epoch, previousEpoch };
    }
    if (answer.kind !== "refused") {
        return { kind: "unknown" };
    }
    const standing = answer.standing?.find(record => record.key === LEADER_KEY);
    return standing?.value === value ?
        { kind: "won", revision: standing.revision, epoch, previousEpoch } :
        { kind: "lost" };
}
