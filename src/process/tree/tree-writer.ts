/** Writes edits to the store, one at a time, by compare-and-swap with merging. */
import type { Clock, Millis } from "../../common/clock.js";
import { applyEdit, type ApplyResult, encodeTree, type TreeDocument } from "../../version/index.js";
import type { EditReply, SettingsFault, TreeEdit } from "../operator-gateway.js";
import type { StoreRecord } from "../ports/store-port.js";
import type { StoreClient, WriteResult } from "../store-client.js";
import type { HeldTree } from "./held-tree.js";

/** Key of the tree in the store. */
export const TREE_KEY = "cell/tree";

/** Longer than the store's slow spells, so that a slow write is not given up while it succeeds. */
const WRITE_PATIENCE_MS: Millis = 10_000;
const READ_PATIENCE_MS: Millis = 6_000;
const MAX_WAITING_EDITS = 32;
/** Compare-and-swaps of one edit; each failure means that somebody else's succeeded. */
const MAX_TRIES = 16;
const RETRY_AFTER_MS: Millis = 2_000;

/** Result of writing an edit. `written`: it is in the store, as part of this version or an earlier write. */
export type WriteEditResult =
    | { readonly kind: "written"; readonly version: number; }
    | Extract<EditReply, { kind: "conflict" | "invalid" | "unavailable" | "uncertain"; }>;

/** What one compare-and-swap led to; `again`: somebody else wrote, merge with it. */
type TryResult = WriteEditResult | { readonly kind: "again"; };

/** Writes edits, one at a time. */
export class TreeWriter {
    private waiting = 0;
    private last: Promise<unknown> = Promise.resolve();

    /**
     * @param clock - Gives the wall-clock time of the history.
     * @param store - Where the tree stands.
     * @param held - The version this entry holds.
     */
    constructor(
        private readonly clock: Clock,
        private readonly store: StoreClient,
        private readonly held: HeldTree,
    ) {}

    /**
     * Writes an edit after those handed in before it.
     * @param edit - The edit.
     */
    write(edit: TreeEdit): Promise<WriteEditResult> {
        if (this.waiting >= MAX_WAITING_EDITS) {
            return Promise.resolve(buildUnavailable(`${MAX_WAITING_EDITS} edits wait here already`));
        }
        this.waiting++;
        const result = this.last.then(() => this.tryUntilSettled(edit)).finally(() => {
            this.waiting--;
        });
        this.last = result.catch(() => undefined);
        return result;
    }

    /**
     * Reads the tree from the store.
     * @returns Whether the store answered and what it holds can be read.
     */
    async refresh(): Promise<"done" | "unavailable" | "unreadable"> {
        const read = await this.store.read(TREE_KEY, READ_PATIENCE_MS);
        if (read.kind !== "done") {
            return "unavailable";
        }
        return this.acceptRecord(read.value) ? "done" : "unreadable";
    }

    private async tryUntilSettled(edit: TreeEdit): Promise<WriteEditResult> {
        if (this.needsRefresh(edit)) {
            const refreshed = await this.refresh();
            if (refreshed !== "done") {
                return refreshed === "unreadable" ?
                    unreadableReply :
                    buildUnavailable("the store does not answer");
            }
        }
        for (let tries = 0; tries < MAX_TRIES; tries++) {
            const result = await this.tryOnce(edit);
            if (result.kind !== "again") {
                return result;
            }
        }
        return buildUnavailable("other edits came first each time");
    }

    /** Before the first version, and when the operator has read a later one elsewhere. */
    private needsRefresh(edit: TreeEdit): boolean {
        const version = this.held.get()?.document.version;
        return version === undefined || edit.baseVersion > version;
    }

    private async tryOnce(edit: TreeEdit): Promise<TryResult> {
        const document = this.held.get()?.document;
        if (document === undefined) {
            return buildUnavailable("this entry has not read the tree yet");
        }
        const applied = applyEdit(document, edit, this.clock.wallNow());
        return applied.kind === "applied" ?
            await this.swap(applied.document) :
            convertRefusal(document, applied);
    }

    private async swap(document: TreeDocument): Promise<TryResult> {
        const text = encodeTree(document);
        const result = await this.store.write({
            key: TREE_KEY,
            value: text,
            expectedRevision: this.held.getRevision(),
            patienceMs: WRITE_PATIENCE_MS,
        });
        if (result.kind === "done") {
            this.held.accept(text, result.revision, "edit");
            return { kind: "written", version: document.version };
        }
        return this.resolveFailure(result);
    }

    private resolveFailure(result: Exclude<WriteResult, { kind: "done"; }>): TryResult {
        switch (result.kind) {
            case "refused":
            // After `superseded` the edit may have stood: then the newer tree remembers its id.
            case "superseded":
                return this.acceptRecord(result.current) ? { kind: "again" } : unreadableReply;
            case "unknown":
                return {
                    kind: "uncertain",
                    message: "the store's answer was lost: send the edit again with the same id",
                    retryAfterMs: RETRY_AFTER_MS,
                };
            case "tooLarge":
                return { kind: "invalid", faults: [tooLargeFault] };
            case "noLease":
            case "unavailable":
                return buildUnavailable("the store does not answer");
        }
    }

    private acceptRecord(record: StoreRecord | undefined): boolean {
        if (record === undefined) {
            this.held.acceptAbsence(Number.MAX_SAFE_INTEGER);
            return true;
        }
        return this.held.accept(record.value, record.revision, "store");
    }
}

function convertRefusal(
    document: TreeDocument,
    refusal: Exclude<ApplyResult, { kind: "applied"; }>,
): WriteEditResult {
    switch (refusal.kind) {
        case "repeated":
            return { kind: "written", version: refusal.version };
        case "conflict":
            return { kind: "conflict", version: document.version, conflicts: refusal.conflicts };
        case "faults":
            return { kind: "invalid", faults: refusal.faults };
    }
}

function buildUnavailable(message: string): WriteEditResult {
    return {
        kind: "unavailable",
        message: `not written: ${message}; send the edit again`,
        retryAfterMs: RETRY_AFTER_MS,
    };
}

const tooLargeFault: SettingsFault = {
    path: "(root)",
    found: "a tree over the store's limit",
    allowed: "at most 1 MB",
    remedy: "remove teams or branches that are no longer used",
};

const unreadableReply: WriteEditResult = {
    kind: "invalid",
    faults: [{
        path: "tree",
        found: "a tree in the store that this program cannot read",
        allowed: "a tree of this program's format",
        remedy:
            "see the log line CR1201; replace this entry by a newer program, or restore the last valid tree",
    }],
};
