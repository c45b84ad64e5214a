/** Writes snapshots of a home slice, each to the set of keys that the head does not name. */
import type { Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";
import { makeHeadKey, makePartKey } from "./keys.js";
import { getOtherSet } from "./read-back.js";
import type { HeadRecord } from "./records.js";
import { decodeRecord, encodeRecord } from "./records.js";
import type { WriteScope } from "./settle-write.js";
import { settleWrite } from "./settle-write.js";

/**
 * Maximum bytes of items in one part; with escaping and envelope it stays below the store's limit of 1 MB.
 */
export const MAX_PART_BYTES = 400_000;
const STORE_RETRY_DELAY_MS: Millis = 1_000;

/** A state to write as a snapshot. */
export interface SnapshotImage {
    /** Sequence of the last record that the state includes. */
    readonly coveredSequence: number;
    readonly logTime: Millis;
    readonly items: readonly string[];
}

/** Result of a snapshot. `fenced`: another owner has taken over the slice. */
export type SnapshotResult = "done" | "fenced" | "stopped";

/** Writes the snapshots of one slice and tracks the revisions of its head and parts. */
export class SnapshotWriter {
    private readonly revisions: Map<string, number>;

    /**
     * @param head - The head as this owner wrote it.
     * @param headRevision - Its revision.
     * @param revisions - Revisions of all keys of the slice when it was recovered.
     */
    constructor(
        private readonly scope: WriteScope,
        private head: HeadRecord,
        private headRevision: number,
        revisions: ReadonlyMap<string, number>,
    ) {
        this.revisions = new Map(revisions);
    }

    /** Sequence of the last record that a snapshot covers. */
    getCoveredSequence(): number {
        return this.head.covers;
    }

    /**
     * Writes a snapshot and then the head that names it. Until the head is written the previous snapshot is
     * current, so a crash in between loses nothing.
     */
    async writeSnapshot(image: SnapshotImage): Promise<SnapshotResult> {
        const set = getOtherSet(this.head.set);
        const parts: number[] = [];
        for (const [part, items] of splitItems(image.items).entries()) {
            const { slice, epoch, writer } = this.head;
            const text = encodeRecord({
                kind: "part",
                slice,
                epoch,
                writer,
                covers: image.coveredSequence,
                part,
                items,
            });
            const revision = await this.writePart(makePartKey(slice, set, part), text);
            if (typeof revision !== "number") {
                return revision;
            }
            parts.push(revision);
        }
        return this.writeHead({ ...this.head, set, parts, covers: image.coveredSequence, at: image.logTime });
    }

    /**
     * Writes one part.
     *
     * @remarks A part written by a previous owner may reach the store after this owner recovered the slice;
     * the write here is then refused. The head of this epoch does not name that part, so it is overwritten; a
     * part of this epoch or a higher one means that this owner is fenced.
     */
    private async writePart(key: string, value: string): Promise<number | "fenced" | "stopped"> {
        for (;;) {
            const expectedRevision = this.revisions.get(key) ?? 0;
            const result = await settleWrite(this.scope, { key, value, expectedRevision });
            switch (result.kind) {
                case "done":
                    this.revisions.set(key, result.revision);
                    return result.revision;
                case "unavailable":
                    await sleep(this.scope.context.clock, STORE_RETRY_DELAY_MS);
                    break;
                case "lost": {
                    const current = result.current;
                    if (current === undefined) {
                        return "fenced";
                    }
                    const decoded = decodeRecord(key, current.value, "part", this.head.slice);
                    if (decoded.kind === "fault" || decoded.value.epoch >= this.head.epoch) {
                        return "fenced";
                    }
                    this.revisions.set(key, current.revision);
                    break;
                }
                case "tooLarge":
                    return "fenced";
                case "stopped":
                    return "stopped";
            }
        }
    }

    private async writeHead(head: HeadRecord): Promise<SnapshotResult> {
        for (;;) {
            const result = await settleWrite(this.scope, {
                key: makeHeadKey(head.slice),
                value: encodeRecord(head),
                expectedRevision: this.headRevision,
            });
            switch (result.kind) {
                case "done":
                    this.head = head;
                    this.headRevision = result.revision;
                    return "done";
                case "unavailable":
                    await sleep(this.scope.context.clock, STORE_RETRY_DELAY_MS);
                    break;
                case "stopped":
                    return "stopped";
                case "lost":
                case "tooLarge":
                    return "fenced";
            }
        }
    }
}

/**
 * Splits items into parts below the limit. An item is never cut: the log accepts no entry above the limit.
 */
function splitItems(items: readonly string[]): string[][] {
    const parts: string[][] = [];
    let bytes = MAX_PART_BYTES;
    for (const item of items) {
        const size = Buffer.byteLength(item);
        if (bytes + size > MAX_PART_BYTES) {
            parts.push([]);
            bytes = 0;
        }
        parts.at(-1)?.push(item);
        bytes += size;
    }
    return parts;
}
