/** What the operators' interfaces (HTTP and command line) require of an entry: settings tree and status. */
import type { HomeStatus, Member, WorkerStatus } from "./roles.js";

/** One changed field of an edit. */
export interface FieldChange {
    /** Path of the branch; the empty string denotes the root. */
    readonly path: string;
    /** Field within the branch, dotted, such as `queueLimit` or `teams.verona.weight`. */
    readonly field: string;
    /** New value as JSON; undefined removes the branch's own value, so that it inherits again. */
    readonly value?: unknown;
}

/** An edit of the tree. */
export interface TreeEdit {
    /** Unique per edit; sending an edit again with the same id has no further effect. */
    readonly editId: string;
    /** Version of the tree that the edit is based on. */
    readonly baseVersion: number;
    /** Name of the operator, for the history. */
    readonly author: string;
    readonly changes: readonly FieldChange[];
}

/** A fault in settings or input, with the information needed to correct it. */
export interface SettingsFault {
    /** Location, such as `services/catalogo-beni: queueLimit`. */
    readonly path: string;
    readonly found: string;
    readonly allowed: string;
    readonly remedy: string;
}

/** Conflicting edits of one field. */
export interface FieldConflict {
    readonly path: string;
    readonly field: string;
    readonly base: unknown;
    readonly theirs: unknown;
    readonly yours: unknown;
}

/** Answer to an edit. */
export type EditReply =
    /** In force on every entry that may act. */
    | { readonly kind: "accepted"; readonly version: number; readonly inForce: readonly string[]; }
    /** Durable and final, but not yet confirmed by the entries in `missing`. */
    | {
        readonly kind: "written";
        readonly version: number;
        readonly inForce: readonly string[];
        readonly missing: readonly string[];
    }
    | { readonly kind: "conflict"; readonly version: number; readonly conflicts: readonly FieldConflict[]; }
    | { readonly kind: "invalid"; readonly faults: readonly SettingsFault[]; }
    /** Certainly not written. */
    | { readonly kind: "unavailable"; readonly message: string; readonly retryAfterMs: number; }
    /** Possibly written: send the edit again with the same id. */
    | { readonly kind: "uncertain"; readonly message: string; readonly retryAfterMs: number; };

/** An edit in the history. */
export interface EditRecord {
    readonly editId: string;
    readonly version: number;
    readonly author: string;
    readonly wallMs: number;
    readonly changes: readonly (FieldChange & { readonly before?: unknown; })[];
}

/** A value in force and the branch that sets it. */
export interface EffectiveValue {
    readonly field: string;
    readonly value: unknown;
    /** Path of the branch that sets it, or `default`. */
    readonly origin: string;
}

/** What an edit would change for the work that is currently waiting. */
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
        /** Describes the effect on work that is waiting at this entry. */
        readonly effect: string;
    }[];
}

/** The settings tree as stored. */
export interface TreeView {
    readonly version: number;
    /** The documents of the tree as JSON. */
    readonly tree: unknown;
}

/** State of the whole cell, as one entry knows it. */
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

/** Operations on the settings tree for operators. */
export interface TreeGateway {
    readTree(): TreeView | undefined;
    editTree(edit: TreeEdit): Promise<EditReply>;
    listHistory(limit: number): readonly EditRecord[];
    getEffective(path: string): readonly EffectiveValue[] | undefined;
    checkEdit(edit: TreeEdit): DryRunReport;
}

/** All operations that an entry offers to operators. */
export interface OperatorGateway extends TreeGateway {
    getStatus(): StatusView;
}
