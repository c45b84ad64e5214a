/** Who leads, as the store says it. */
import type { Millis } from "../../common/clock.js";
import { ALIVE_KEY, LEADER_KEY, LEADER_PREFIX } from "../journal/keys.js";
import type { StorePort, StoreRecord } from "../ports/index.js";

/** The leader's record. */
export interface LeaderRecord {
    /** Rises with each take-over; workers and the store refuse what carries a lower one. */
    readonly epoch: number;
    readonly nodeName: string;
    /** `host:port` where the leader takes links. */
    readonly address: string;
    /** Unique for each life of a process. */
    readonly life: string;
    /** Processor time of its VM, in cores. */
    readonly cores?: number;
    /** Consecutive earlier leaders that were replaced without being seen to have loaded the journal. */
    readonly failedBefore?: number;
}

/** What a look at the store shows. */
export interface LeaderView {
    readonly record: LeaderRecord | undefined;
    /** Revision of the record; 0 if there is none. */
    readonly revision: number;
    /** Whether the store has heard of the leader within its lease. */
    readonly isAlive: boolean;
}

/** How a claim ended. */
export type ClaimResult =
    | { readonly kind: "won"; readonly revision: number; readonly epoch: number; }
    | { readonly kind: "lost"; }
    /** The store did not answer: look again. */
    | { readonly kind: "unknown"; };

/**
 * Looks up the leader.
 * @returns Undefined if the store does not answer.
 * @throws An error that names the key, if its record cannot be read: claimed over, epochs would begin anew.
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
 * Claims the leadership: writes the next epoch if the record is still the one that was seen.
 *
 * @remarks Safe at any time, also while the leader is well: from that write on the store refuses the earlier
 * leader's writes, and workers that hear the new epoch refuse its orders.
 * @param port - The store.
 * @param view - What was seen.
 * @param own - Who claims.
 * @param timeout - For the one try.
 */
export async function claimLeadership(
    port: StorePort,
    view: LeaderView,
    own: Omit<LeaderRecord, "epoch">,
    timeout: Millis,
): Promise<ClaimResult> {
    const epoch = (view.record?.epoch ?? 0) + 1;
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
        return { kind: "won", revision: answer.value, epoch };
    }
    if (answer.kind !== "refused") {
        return { kind: "unknown" };
    }
    const standing = answer.standing?.find(record => record.key === LEADER_KEY);
    return standing?.value === value ? { kind: "won", revision: standing.revision, epoch } : { kind: "lost" };
}
