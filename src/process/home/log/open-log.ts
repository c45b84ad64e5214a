/** Taking a home slice: read it back, fence the owner before, and only then write. */
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

const LIST_PATIENCE_MS: Millis = 5_000;
const PAUSE_WHEN_AWAY_MS: Millis = 500;

/** A slice that is read back and fenced. */
export interface OpenedSlice {
    readonly state: HomeState;
    readonly lastSequence: number;
    readonly slots: number;
    /** Revision of each slot's key. */
    readonly slotRevisions: Map<string, number>;
    readonly snapshots: SnapshotWriter;
    readonly uncoveredBytes: number;
}

/** Result of {@link openSlice}. */
export type OpenResult =
    | { readonly kind: "open"; readonly opened: OpenedSlice; }
    | { readonly kind: "fault"; readonly fault: RecordFault; }
    /** A higher epoch has written: this entry no longer owns the slice. */
    | { readonly kind: "fenced"; }
    | { readonly kind: "stopped"; };

/**
 * Takes a slice over, for as long as it needs.
 *
 * @param scope - Store, clock and whether to stop.
 * @param writer - The slice, and this owner with its epoch.
 * @param slots - Number of slots if the slice is new.
 */
export async function openSlice(
    scope: WriteScope & { readonly context: Pick<RoleContext, "log">; },
    writer: RecordWriter,
    slots: number,
): Promise<OpenResult> {
    while (!scope.isStopped()) {
        const listing = await scope.context.store.list(makeSlicePrefix(writer.slice), LIST_PATIENCE_MS);
        if (listing.kind === "unavailable") {
            await sleep(scope.context.clock, PAUSE_WHEN_AWAY_MS);
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
 * Fences the owner before.
 *
 * @remarks Guards against an owner that paused, lost the slice and wakes with a write under way. The head is
 * written first, so that its snapshots are refused; then the record that it would write next, so that its
 * records are refused. If it was quicker with either, the write here is refused and the slice is read again.
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
        await sleep(scope.context.clock, PAUSE_WHEN_AWAY_MS);
        return undefined;
    }
    const snapshots = new SnapshotWriter(scope, head, headWrite.revision, image.revisions);
    const sequence = image.lastSequence + 1;
    if (sequence - head.slots > head.covers) {
        // The owner before stopped with a full ring: its oldest record must be covered before it is overwritten.
        const items = listSnapshotItems(image.state);
        const { lastSequence: covers, state: { logTime: at } } = image;
        if (await snapshots.writeSnapshot({ covers, at, items }) !== "done") {
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
        await sleep(scope.context.clock, PAUSE_WHEN_AWAY_MS);
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
        uncoveredBytes: image.uncoveredBytes + value.length,
    };
}

function buildHead(writer: RecordWriter, slots: number, image: SliceImage): HeadRecord {
    const fresh: HeadRecord = {
        ...writer,
        kind: "head",
        slots,
        covers: 0,
        at: 0,
        set: SnapshotSet.first,
        parts: [],
    };
    return { ...(image.head ?? fresh), ...writer };
}
