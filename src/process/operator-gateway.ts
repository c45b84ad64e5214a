/** What operators' interfaces (HTTP and command line) need of the entry: the tree, and read-only status. */
import type { HomeStatus, Member, WorkerStatus } from "./roles.js";

/** One changed field of an edit. */
export interface FieldChange {
    /** Path of the branch; the empty string is the root. */
    readonly path: string;
    /** Field within the branch, dotted, such as `queueLimit` or `teams.verona.weight`. */
    readonly field: string;
    /** New value as JSON; undefined removes the branch's own value, so that it inherits again. */
    readonly value?: unknown;
}

/** An edit of the tree. */
export interface TreeEdit {
    /** Unique for the edit; repeating it with the same id has no further effect. */
    readonly editId: string;
    /** Version that the edit was made from. */
    readonly baseVersion: number;
    /** Who makes it, for the history. */
    readonly author: string;
    readonly changes: readonly FieldChange[];
}

/** A fault found in settings, with everything needed to mend it. */
export interface SettingsFault {
    /** Where, such as `services/catalogo-beni: queueLimit`. */
    readonly path: string;
    readonly found: string;
    readonly allowed: string;
    readonly remedy: string;
}

/** Two edits of the same field. */
export interface FieldConflict {
    readonly path: string;
    readonly field: string;
    readonly base: unknown;
    readonly theirs: unknown;
    readonly yours: unknown;
}

/** Answer to an edit. */
export type EditReply =
    /** In force on every entry that can act. */
    | { readonly kind: "accepted"; readonly version: number; readonly inForce: readonly string[]; }
    /** Decided and never to revert, but not yet confirmed by `missing`. */
    | {
        readonly kind: "written";
        readonly version: number;
        readonly inForce: readonly string[];
        readonly missing: readonly string[];
    }
    | { readonly kind: "conflict"; readonly version: number; readonly conflicts: readonly FieldConflict[]; }
    | { readonly kind: "invalid"; readonly faults: readonly SettingsFault[]; }
    /** Surely not written. */
    | { readonly kind: "unavailable"; readonly message: string; readonly retryAfterMs: number; }
    /** May have been written: repeat the edit with the same id. */
    | { readonly kind: "uncertain"; readonly message: string; readonly retryAfterMs: number; };

/** One edit of the history. */
export interface EditRecord {
    readonly editId: string;
    readonly version: number;
    readonly author: string;
    readonly wallMs: number;
    readonly changes: readonly (FieldChange & { readonly before?: unknown; })[];
}

/** A value in force and the branch it comes from. */
export interface EffectiveValue {
    readonly field: string;
    readonly value: unknown;
    /** Path of the branch that sets it, or `default`. */
    readonly origin: string;
}

/** What an edit would change for work that waits now. */
export interface DryRunReport {
    readonly faults: readonly SettingsFault[];
    readonly conflicts: readonly FieldConflict[];
    readonly changedBranches: readonly {
        readonly path: string;
        readonly fields: readonly {
            readonly field: string;
            readonly before: unknown;
            readonly after: unknown;
        }[];
        /** In words: what it means for waiting work here. */
        readonly effect: string;
    }[];
}

/** The tree as stored. */
export interface TreeView {
    readonly version: number;
    /** The documents of the tree as JSON. */
    readonly tree: unknown;
}

/** State of the whole cell as one entry knows it. */
export interface StatusView {
    readonly memberId: string;
    readonly accepting: boolean;
    readonly treeVersion: number;
    readonly tableRevision: number;
    readonly mayAct: boolean;
    readonly members: readonly (Member & { readonly reachable: boolean; readonly treeVersion?: number; })[];
    readonly workerSlices: readonly {
        readonly slice: number;
        readonly owner?: string;
        readonly epoch: number;
    }[];
    readonly homeSlices: readonly {
        readonly slice: number;
        readonly owner?: string;
        readonly epoch: number;
    }[];
    readonly workers: readonly WorkerStatus[];
    readonly home: HomeStatus;
    readonly store: Readonly<Record<string, number>>;
}

/** The operators' view of the settings tree. */
export interface TreeGateway {
    readTree(): TreeView | undefined;
    editTree(edit: TreeEdit): Promise<EditReply>;
    listHistory(limit: number): readonly EditRecord[];
    getEffective(path: string): readonly EffectiveValue[] | undefined;
    checkEdit(edit: TreeEdit): DryRunReport;
}

/** Everything that operators can ask of an entry. */
export interface OperatorGateway extends TreeGateway {
    getStatus(): StatusView;
}
