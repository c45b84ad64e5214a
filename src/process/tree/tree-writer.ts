/** Writes edits to the store, one at a time, by compare-and-swap with merging. */
import type { Clock, Millis } from "../../common/clock.js";
import { applyEdit, type ApplyResult, encodeTree, type TreeDocument } from "../../version/index.js";
import type { EditReply, SettingsFault, TreeEdit } from "../operator-gateway.js";
import type { StoreRecord } from "../ports/store-port.js";
import type { StoreClient, WriteResult } from "../store-client.js";
import type { LocalTree } from "./local-tree.js";

/** Key of the tree in the store. */
export const TREE_KEY = "cell/tree";

/**
 * Longer than the store's phases of slow answers, so that a slow write is not abandoned while it succeeds.
 */
const WRITE_TIMEOUT_MS: Millis = 10_000;
const READ_TIMEOUT_MS: Millis = 6_000;
const MAX_WAITING_EDITS = 32;
/** Compare-and-swap attempts for one edit; each failed one means that a concurrent write succeeded. */
const MAX_ATTEMPTS = 16;
const RETRY_AFTER_MS: Millis = 2_000;

/** Result of writing an edit. `written`: the edit is in the store, written now or before with the same id. */
export type WriteEditResult =
    | { readonly kind: "written"; readonly version: number; }
    | Extract<EditReply, { kind: "conflict" | "invalid" | "unavailable" | "uncertain"; }>;

/** Result of one compare-and-swap attempt. `again`: a concurrent write came first and must be merged with. */
type AttemptResult = WriteEditResult | { readonly kind: "again"; };

/** Writes edits to the store sequentially. */
export class TreeWriter {
    private waitingEdits = 0;
    private lastWrite: Promise<unknown> = Promise.resolve();

    /**
     * @param clock - Provides the wall-clock times of the edit history.
     * @param localTree - This entry's version of the tree, updated by each read and write.
     */
    constructor(
        private readonly clock: Clock,
        private readonly store: StoreClient,
        private readonly localTree: LocalTree,
    ) {}

    /** Writes an edit after all earlier ones have ended; answers `unavailable` if too many are waiting. */
    write(edit: TreeEdit): Promise<WriteEditResult> {
        if (this.waitingEdits >= MAX_WAITING_EDITS) {
            return Promise.resolve(buildUnavailable(`${MAX_WAITING_EDITS} edits wait here already`));
        }
        this.waitingEdits++;
        const result = this.lastWrite.then(() => this.retryWrite(edit)).finally(() => {
            this.waitingEdits--;
        });
        this.lastWrite = result.catch(() => undefined);
        return result;
    }

    /**
     * Reads the tree from the store into the local version.
     * @returns `unavailable` if the store did not answer; `unreadable` if its record cannot be parsed.
     */
    async refresh(): Promise<"done" | "unavailable" | "unreadable"> {
        const read = await this.store.read(TREE_KEY, READ_TIMEOUT_MS);
        if (read.kind !== "done") {
            return "unavailable";
        }
        return this.acceptRecord(read.value) ? "done" : "unreadable";
    }

    private async retryWrite(edit: TreeEdit): Promise<WriteEditResult> {
        if (this.needsRefresh(edit)) {
            const refreshed = await this.refresh();
            if (refreshed !== "done") {
                return refreshed === "unreadable" ?
                    UNREADABLE_REPLY :
                    buildUnavailable("the store does not answer");
            }
        }
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const result = await this.tryWrite(edit);
            if (result.kind !== "again") {
                return result;
            }
        }
        return buildUnavailable("other edits came first each time");
    }

    /**
     * Returns whether there is no version yet or the operator's edit is based on a later one, read elsewhere.
     */
    private needsRefresh(edit: TreeEdit): boolean {
        const version = this.localTree.get()?.document.version;
        return version === undefined || edit.baseVersion > version;
    }

    private async tryWrite(edit: TreeEdit): Promise<AttemptResult> {
        const document = this.localTree.get()?.document;
        if (document === undefined) {
            return buildUnavailable("this entry has not read the tree yet");
        }
        const applied = applyEdit(document, edit, this.clock.wallNow());
        return applied.kind === "applied" ?
            await this.swap(applied.document) :
            convertRefusal(document, applied);
    }

    private async swap(document: TreeDocument): Promise<AttemptResult> {
        const text = encodeTree(document);
        const result = await this.store.write({
            key: TREE_KEY,
            value: text,
            expectedRevision: this.localTree.getRevision(),
            timeoutMs: WRITE_TIMEOUT_MS,
        });
        if (result.kind === "done") {
            this.localTree.accept(text, result.revision, "edit");
            return { kind: "written", version: document.version };
        }
        return this.resolveFailedSwap(result);
    }

    private resolveFailedSwap(result: Exclude<WriteResult, { kind: "done"; }>): AttemptResult {
        switch (result.kind) {
            case "refused":
            // After `superseded` the edit may have been written: then the newer tree contains its id.
            case "superseded":
                return this.acceptRecord(result.current) ? { kind: "again" } : UNREADABLE_REPLY;
            case "unknown":
                return {
                    kind: "uncertain",
                    message: "the store's answer was lost: send the edit again with the same id",
                    retryAfterMs: RETRY_AFTER_MS,
                };
            case "tooLarge":
                return { kind: "invalid", faults: [TOO_LARGE_FAULT] };
            case "noLease":
            case "unavailable":
                return buildUnavailable("the store does not answer");
        }
    }

    private acceptRecord(record: StoreRecord | undefined): boolean {
        if (record === undefined) {
            this.localTree.acceptAbsence(Number.MAX_SAFE_INTEGER);
            return true;
        }
        return this.localTree.accept(record.value, record.revision, "store");
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

const TOO_LARGE_FAULT: SettingsFault = {
    path: "(root)",
    found: "a tree over the store's limit",
    allowed: "at most 1 MB",
    remedy: "remove teams or branches that are no longer used",
};

const UNREADABLE_REPLY: WriteEditResult = {
    kind: "invalid",
    faults: [{
        path: "tree",
        found: "a tree in the store that this program cannot read",
        allowed: "a tree of this program's format",
        remedy:
            "see the log line CR1201; replace this entry by a newer program, or restore the last valid tree",
    }],
};
