/** Writes snapshots of a home slice, each to the set of keys that the head does not name. */
import type { Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";
import { makeHeadKey, makePartKey } from "./keys.js";
import { getOtherSet } from "./read-back.js";
import type { HeadRecord } from "./records.js";
import { decodeRecord, encodeRecord } from "./records.js";
import type { WriteScope } from "./settle-write.js";
import { settleWrite } from "./settle-write.js";

/** Most bytes of items in one part: with escaping and envelope it stays under the store's limit of 1 MB. */
export const MAX_PART_BYTES = 400_000;
const PAUSE_WHEN_AWAY_MS: Millis = 1_000;

/** A state to be written. */
export interface SnapshotImage {
    readonly covers: number;
    readonly at: Millis;
    readonly items: readonly string[];
}

/** Result of a snapshot. `fenced`: another owner has taken the slice. */
export type SnapshotResult = "done" | "fenced" | "stopped";

/** Keeps the head and the revisions of the parts of one slice. */
export class SnapshotWriter {
    private readonly revisions: Map<string, number>;

    /**
     * @param head - The head as this owner wrote it.
     * @param headRevision - Its revision.
     * @param revisions - Revisions of all keys of the slice when it was read back.
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
    getCovers(): number {
        return this.head.covers;
    }

    /**
     * Writes a snapshot and then the head that names it. Until the head is written the one before counts, so
     * a death in between loses nothing.
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
                covers: image.covers,
                part,
                items,
            });
            const revision = await this.writePart(makePartKey(slice, set, part), text);
            if (typeof revision !== "number") {
                return revision;
            }
            parts.push(revision);
        }
        return this.writeHead({ ...this.head, set, parts, covers: image.covers, at: image.at });
    }

    /**
     * Writes one part.
     *
     * @remarks Guards against a part of an older owner that arrived after this one read the slice back: it shows
     * as a refused write. The head of this epoch does not name it, so it is written over; a part of a higher
     * epoch means that this owner is fenced.
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
                    await sleep(this.scope.context.clock, PAUSE_WHEN_AWAY_MS);
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
                    await sleep(this.scope.context.clock, PAUSE_WHEN_AWAY_MS);
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

/** Splits items into parts under the limit; an item is never cut, and the log takes none over the limit. */
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
