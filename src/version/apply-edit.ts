/**
 * Applies an edit to the newest tree: merges it with edits made meanwhile, or shows the conflict.
 *
 * @remarks The tree remembers its last edits. They tell what changed since the version an edit was made from, and
 * whether an edit was already applied. An edit made from a version older than the first remembered one is
 * refused; therefore a repeat that is no longer remembered can never be applied a second time.
 */
import { isDeepStrictEqual } from "node:util";
import type {
    EditRecord,
    FieldChange,
    FieldConflict,
    SettingsFault,
    TreeEdit,
} from "../process/operator-gateway.js";
import { type Checked, formatValue } from "./faults.js";
import { checkTree } from "./parse-tree.js";
import { getField, hasBranch, isOverlapping, withField } from "./tree-fields.js";
import type { RootNode, TreeDocument } from "./tree-schema.js";

/** Bytes of the tree without its remembered edits. */
export const MAX_ROOT_BYTES = 512 * 1_024;
/** Bytes of the remembered edits. */
export const MAX_HISTORY_BYTES = 192 * 1_024;
/** Remembered edits. */
export const MAX_HISTORY_EDITS = 500;
/** Bytes of one edit as JSON, its former values included. */
export const MAX_EDIT_BYTES = 160 * 1_024;

/** Result of applying an edit. */
export type ApplyResult =
    | { readonly kind: "applied"; readonly document: TreeDocument; }
    /** The same edit was applied before and made this version. */
    | { readonly kind: "repeated"; readonly version: number; }
    | { readonly kind: "conflict"; readonly conflicts: readonly FieldConflict[]; }
    | { readonly kind: "faults"; readonly faults: readonly SettingsFault[]; };

/**
 * Applies an edit.
 * @param document - The newest tree.
 * @param edit - The edit.
 * @param wallMs - Wall-clock time, for the history.
 * @returns The tree of the next version, or why there is none.
 */
export function applyEdit(document: TreeDocument, edit: TreeEdit, wallMs: number): ApplyResult {
    const repeated = document.recentEdits.find(record => record.editId === edit.editId);
    if (repeated !== undefined) {
        return isSameEdit(repeated, edit) ?
            { kind: "repeated", version: repeated.version } :
            { kind: "faults", faults: [buildReusedIdFault(edit)] };
    }
    const faults = checkEditShape(document, edit);
    if (faults.length > 0) {
        return { kind: "faults", faults };
    }
    const conflicts = findConflicts(document, edit);
    if (conflicts.length > 0) {
        return { kind: "conflict", conflicts };
    }
    return buildNext(document, edit, wallMs);
}

function buildNext(document: TreeDocument, edit: TreeEdit, wallMs: number): ApplyResult {
    let root = document.root;
    for (const { path, field, value } of edit.changes) {
        root = withField(root, path, field, value);
    }
    const record: EditRecord = {
        editId: edit.editId,
        version: document.version + 1,
        author: edit.author,
        wallMs,
        changes: edit.changes.map(change => ({
            ...change,
            before: getField(document.root, change.path, change.field),
        })),
    };
    const checked = checkNext(document, root, record);
    return checked.kind === "valid" ? { kind: "applied", document: checked.value } : checked;
}

function checkNext(document: TreeDocument, root: RootNode, record: EditRecord): Checked<TreeDocument> {
    const sizeFault =
        checkSize("(root)", root, MAX_ROOT_BYTES, "remove teams or branches that are no longer used") ??
            checkSize("changes", record, MAX_EDIT_BYTES, "split the edit into several");
    if (sizeFault !== undefined) {
        return { kind: "faults", faults: [sizeFault] };
    }
    return checkTree({
        ...document,
        version: record.version,
        root,
        recentEdits: truncateHistory([...document.recentEdits, record]),
    });
}

function checkSize(path: string, value: unknown, limit: number, remedy: string): SettingsFault | undefined {
    const bytes = Buffer.byteLength(JSON.stringify(value));
    return bytes <= limit ?
        undefined :
        { path, found: `${bytes} bytes`, allowed: `at most ${limit} bytes`, remedy };
}

/** Keeps the newest edits within the bounds; the newest one always, since its size was checked. */
function truncateHistory(edits: readonly EditRecord[]): readonly EditRecord[] {
    let bytes = 0;
    let first = edits.length;
    while (first > 0 && edits.length - first < MAX_HISTORY_EDITS) {
        bytes += Buffer.byteLength(JSON.stringify(edits[first - 1]));
        if (bytes > MAX_HISTORY_BYTES) {
            break;
        }
        first--;
    }
    return edits.slice(first);
}

function isSameEdit(record: EditRecord, edit: TreeEdit): boolean {
    const kept = record.changes.map(({ path, field, value }) => ({ path, field, value }));
    const given = edit.changes.map(({ path, field, value }) => ({ path, field, value }));
    return isDeepStrictEqual(kept, given);
}

function buildReusedIdFault(edit: TreeEdit): SettingsFault {
    return {
        path: "editId",
        found: `${formatValue(edit.editId)}, which another edit has used`,
        allowed: "an id that no other edit has",
        remedy: "give the edit a new id",
    };
}

function checkEditShape(document: TreeDocument, edit: TreeEdit): readonly SettingsFault[] {
    const faults: SettingsFault[] = [];
    const oldest = (document.recentEdits[0]?.version ?? document.version + 1) - 1;
    if (edit.baseVersion > document.version || edit.baseVersion < oldest) {
        faults.push({
            path: "baseVersion",
            found: `${edit.baseVersion}`,
            allowed: `a version from ${oldest} to ${document.version}`,
            remedy: "read the tree again, make the edit from that version and give it a new id",
        });
    }
    if (edit.changes.length === 0) {
        faults.push({
            path: "changes",
            found: "none",
            allowed: "at least one change",
            remedy: "name a field to change",
        });
    }
    faults.push(
        ...edit.changes.flatMap((change, index) => checkChange(document.root, edit.changes, change, index)),
    );
    return faults;
}

function checkChange(
    root: RootNode,
    changes: readonly FieldChange[],
    change: FieldChange,
    index: number,
): readonly SettingsFault[] {
    const place = `${change.path === "" ? "(root)" : change.path}: ${change.field}`;
    const doubled = changes.slice(0, index).find(other =>
        other.path === change.path && isOverlapping(other.field, change.field)
    );
    if (doubled !== undefined) {
        return [{
            path: place,
            found: `changed twice, also as ${doubled.field}`,
            allowed: "each field at most once in an edit",
            remedy: "keep one of the two",
        }];
    }
    if (hasBranch(root, change.path) || isCreated(changes, change.path)) {
        return [];
    }
    return [{
        path: place,
        found: "no such branch",
        allowed: "a branch of the tree, or a new one that the same edit gives a kind",
        remedy: `check the path, or set "kind" on "${change.path}" in the same edit`,
    }];
}

/** Whether the edit sets a kind on the branch or below it; guards against new branches by a mistyped path. */
function isCreated(changes: readonly FieldChange[], path: string): boolean {
    return changes.some(other =>
        other.field === "kind" && other.value !== undefined &&
        (other.path === path || other.path.startsWith(`${path}/`))
    );
}

function findConflicts(document: TreeDocument, edit: TreeEdit): readonly FieldConflict[] {
    const since = document.recentEdits.filter(record => record.version > edit.baseVersion);
    return edit.changes.flatMap(change => findConflict(document, since, change) ?? []);
}

function findConflict(
    document: TreeDocument,
    since: readonly EditRecord[],
    change: FieldChange,
): FieldConflict | undefined {
    const { path, field, value: yours } = change;
    const first = since
        .flatMap(record => record.changes)
        .find(other => other.path === path && isOverlapping(other.field, field));
    const theirs = getField(document.root, path, field);
    if (first === undefined || isDeepStrictEqual(theirs, yours)) {
        return undefined;
    }
    return { path, field, base: getPart(first, field), theirs, yours };
}

/** The value of `field` before a change of it, of a part of it, or of what it is a part of. */
function getPart(change: FieldChange & { readonly before?: unknown; }, field: string): unknown {
    if (!field.startsWith(`${change.field}.`)) {
        return change.before;
    }
    let current = change.before;
    for (const key of field.slice(change.field.length + 1).split(".")) {
        current = typeof current === "object" ?
            (current as Record<string, unknown> | undefined)?.[key] :
            undefined;
    }
    return current;
}
