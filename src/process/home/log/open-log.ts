/** Takes over a home slice: reads its records, fences the previous owner, and only then writes. */
import type { Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";
import type { RoleContext } from "../../roles.js";
import type { HomeEntry, HomeState } from "../state/index.js";
import { listSnapshotItems } from "../state/index.js";
import { makeHeadKey, makeSlicePrefix, makeSlotKey } from "./keys.js";
import { buildImage } from "./read-back.js";
import type { SliceImage } from "./read-back.js";
import type { HeadRecord, LogRecord, RecordFault, RecordWriter } from "./records.js";
import { encodeRecord, SnapshotSet } from "./records.js";
import type { WriteScope } from "./settle-write.js";
import { settleWrite } from "./settle-write.js";
import { SnapshotWriter } from "./snapshot-writer.js";

const LIST_TIMEOUT_MS: Millis = 5_000;
const STORE_RETRY_DELAY_MS: Millis = 500;

/** A slice recovered from the store, with its previous owners fenced. */
export interface OpenedSlice {
    readonly state: HomeState;
    readonly lastSequence: number;
    readonly slots: number;
    /** Revision of each key of the ring, by key. */
    readonly slotRevisions: Map<string, number>;
    readonly snapshots: SnapshotWriter;
    readonly uncoveredBytes: number;
}

/** Result of {@link openSlice}. */
export type OpenResult =
    | { readonly kind: "open"; readonly opened: OpenedSlice; }
    | { readonly kind: "fault"; readonly fault: RecordFault; }
    /** A record of a higher epoch was found: another entry owns the slice. */
    | { readonly kind: "fenced"; }
    | { readonly kind: "stopped"; };

/**
 * Takes over a slice. Retries until it succeeds, meets a fault or a higher epoch, or the scope is stopped.
 *
 * @param writer - The slice, and this owner with its epoch.
 * @param slots - Size of the ring if the slice is new; an existing slice keeps its own.
 */
export async function openSlice(
    scope: WriteScope & { readonly context: Pick<RoleContext, "log">; },
    writer: RecordWriter,
    slots: number,
): Promise<OpenResult> {
    while (!scope.isStopped()) {
        const listing = await scope.context.store.list(makeSlicePrefix(writer.slice), LIST_TIMEOUT_MS);
        if (listing.kind === "unavailable") {
            await sleep(scope.context.clock, STORE_RETRY_DELAY_MS);
            continue;
        }
        const pause = (): Promise<void> => sleep(scope.context.clock, 0);
        const image = await buildImage(writer.slice, listing.value, pause);
        if (image.kind === "fault") {
            return image;
        }
        if (image.value.highestEpoch > writer.epoch) {
            return { kind: "fenced" };
        }
        const opened = await claimSlice(scope, writer, slots, image.value);
        if (opened !== undefined) {
            return { kind: "open", opened };
        }
    }
    return { kind: "stopped" };
}

/**
 * Fences the previous owner, which may have been paused and may resume with a write in flight.
 *
 * @remarks The head is written first, so that the previous owner's snapshots are refused, then the record at
 * the next sequence, so that its records are refused. If the previous owner wrote either of them first, the
 * write here is refused and the slice is read again.
 * @returns Undefined when the slice must be read again.
 */
async function claimSlice(
    scope: WriteScope,
    writer: RecordWriter,
    slots: number,
    image: SliceImage,
): Promise<OpenedSlice | undefined> {
    const head = buildHead(writer, slots, image);
    const headWrite = await settleWrite(scope, {
        key: makeHeadKey(writer.slice),
        value: encodeRecord(head),
        expectedRevision: image.headRevision,
    });
    if (headWrite.kind !== "done") {
        await sleep(scope.context.clock, STORE_RETRY_DELAY_MS);
        return undefined;
    }
    const snapshots = new SnapshotWriter(scope, head, headWrite.revision, image.revisions);
    const sequence = image.lastSequence + 1;
    if (sequence - head.slots > head.covers) {
        // The ring is full: a snapshot must cover its oldest record before that record is overwritten.
        const items = listSnapshotItems(image.state);
        const { lastSequence: covers, state: { logTime } } = image;
        if (await snapshots.writeSnapshot({ coveredSequence: covers, logTime, items }) !== "done") {
            return undefined;
        }
    }
    const key = makeSlotKey(writer.slice, sequence, head.slots);
    const entry: HomeEntry = { kind: "opened", memberId: writer.writer, epoch: writer.epoch };
    const record: LogRecord = {
        ...writer,
        kind: "log",
        sequence,
        at: image.state.logTime,
        entries: [entry],
    };
    const value = encodeRecord(record);
    const logWrite = await settleWrite(scope, {
        key,
        value,
        expectedRevision: image.revisions.get(key) ?? 0,
    });
    if (logWrite.kind !== "done") {
        await sleep(scope.context.clock, STORE_RETRY_DELAY_MS);
        return undefined;
    }
    const slotRevisions = new Map(image.revisions);
    slotRevisions.set(key, logWrite.revision);
    image.state.apply(entry, record.at);
    return {
        state: image.state,
        lastSequence: sequence,
        slots: head.slots,
        slotRevisions,
        snapshots,
        uncoveredBytes: image.uncoveredBytes + Buffer.byteLength(value),
    };
}

function buildHead(writer: RecordWriter, slots: number, image: SliceImage): HeadRecord {
    const emptyHead: HeadRecord = {
        ...writer,
        kind: "head",
        slots,
        covers: 0,
        at: 0,
        set: SnapshotSet.first,
        parts: [],
    };
    return { ...(image.head ?? emptyHead), ...writer };
}
