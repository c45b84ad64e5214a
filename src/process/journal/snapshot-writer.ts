/** Writes snapshots of the state to the store. */
import { splitUtf8 } from "../../common/utf8.js";
import type { StoreCondition } from "../ports/index.js";
import type { GuardedResult, GuardedStore } from "./guarded-store.js";
import { makeSnapshotKey, SNAPSHOT_HEAD_KEY } from "./keys.js";
import { encodeSnapshotHead } from "./records.js";

/** Options of {@link SnapshotWriter}. */
export interface SnapshotWriterOptions {
    readonly store: GuardedStore;
    readonly epoch: number;
    /** Revision of the head that the journal was loaded with; 0 if there is none. */
    readonly headRevision: number;
    readonly generation: number;
}

/** A snapshot that was written, or why it was not. */
export type SnapshotResult =
    | { readonly kind: "done"; readonly parts: number; readonly bytes: number; }
    | Exclude<GuardedResult, { readonly kind: "done"; }>;

/**
 * Bytes of one part. Even over the narrowest link, a part and its repeated attempts can be sent alongside
 * records and reports within the timeout of an attempt.
 */
const MAX_PART_BYTES = 60_000;

/** Writes the parts of a snapshot, then the head that makes it valid. */
export class SnapshotWriter {
    /** Revision of the head. */
    private headRevision: number;
    private generation: number;

    constructor(private readonly options: SnapshotWriterOptions) {
        this.headRevision = options.headRevision;
        this.generation = options.generation;
    }

    /**
     * Builds the condition of every write to a slot of the ring or a part of a snapshot.
     *
     * @remarks It prevents an attempt that the store executes late from overwriting a newer value of its key.
     * A slot is reused only after a later snapshot covers it, and a part only after a later head was written;
     * both change the revision of the head, so the late attempt is refused.
     */
    buildHeadCondition(): StoreCondition {
        return { key: SNAPSHOT_HEAD_KEY, revision: this.headRevision };
    }

    /**
     * Writes a snapshot. Only one may be written at a time.
     * @param sequence - Sequence number of the last record that it covers.
     */
    async write(text: string, sequence: number): Promise<SnapshotResult> {
        const { epoch, store } = this.options;
        const parts = splitUtf8(text, Math.min(MAX_PART_BYTES, store.maxValueBytes));
        const generation = this.generation + 1;
        for (const [part, value] of parts.entries()) {
            const written = await this.writeKey(makeSnapshotKey(generation, part), value);
            if (written.kind !== "done") {
                return written;
            }
        }
        const head = encodeSnapshotHead({ generation, parts: parts.length, sequence, epoch });
        const written = await this.writeKey(SNAPSHOT_HEAD_KEY, head);
        if (written.kind !== "done") {
            return written;
        }
        this.headRevision = written.revision;
        this.generation = generation;
        return { kind: "done", parts: parts.length, bytes: Buffer.byteLength(text) };
    }

    private writeKey(key: string, value: string): Promise<GuardedResult> {
        return this.options.store.write({
            buildWrite: () => ({ key, value }),
            buildConditions: () => [this.buildHeadCondition()],
            isBackground: true,
        });
    }
}
