/**
 * Applies an edit to the newest tree: merges it with concurrent edits, or reports the conflicts.
 *
 * @remarks The tree keeps a history of recent edits, which shows what changed since an edit's base version and
 * whether the edit was already applied. An edit whose base version is older than the history is refused, so a
 * repeated edit that has left the history is never applied a second time.
 */
import { isDeepStrictEqual } from "node:util";
import { appendAll } from "../common/lists.js";
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

/** Maximum size of the root as JSON, in bytes, excluding the edit history. */
export const MAX_ROOT_BYTES = 512 * 1_024;
/** Maximum size of the edit history as JSON, in bytes. */
export const MAX_HISTORY_BYTES = 192 * 1_024;
/** Maximum number of edits in the history. */
export const MAX_HISTORY_EDITS = 500;
/** Maximum size of one edit as JSON, in bytes, including the former values. */
export const MAX_EDIT_BYTES = 160 * 1_024;

/** Result of applying an edit. */
export type ApplyResult =
    | { readonly kind: "applied"; readonly document: TreeDocument; }
    /** The same edit was applied before and produced this version. */
    | { readonly kind: "repeated"; readonly version: number; }
    | { readonly kind: "conflict"; readonly conflicts: readonly FieldConflict[]; }
    | { readonly kind: "faults"; readonly faults: readonly SettingsFault[]; };

/**
 * Applies an edit.
 * @param document - The newest tree.
 * @param wallMs - Wall-clock time recorded in the history.
 * @returns The tree of the next version, or the reason why the edit was not applied.
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
    return buildNextVersion(document, edit, wallMs);
}

function buildNextVersion(document: TreeDocument, edit: TreeEdit, wallMs: number): ApplyResult {
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
    const checked = checkNextVersion(document, root, record);
    return checked.kind === "valid" ? { kind: "applied", document: checked.value } : checked;
}

function checkNextVersion(document: TreeDocument, root: RootNode, record: EditRecord): Checked<TreeDocument> {
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

/** Keeps the newest edits that fit the history limits. The newest always fits: MAX_EDIT_BYTES is smaller. */
function truncateHistory(edits: readonly EditRecord[]): readonly EditRecord[] {
    let bytes = 0;
    let firstKept = edits.length;
    while (firstKept > 0 && edits.length - firstKept < MAX_HISTORY_EDITS) {
        bytes += Buffer.byteLength(JSON.stringify(edits[firstKept - 1]));
        if (bytes > MAX_HISTORY_BYTES) {
            break;
        }
        firstKept--;
    }
    return edits.slice(firstKept);
}

function isSameEdit(record: EditRecord, edit: TreeEdit): boolean {
    const recordedChanges = record.changes.map(({ path, field, value }) => ({ path, field, value }));
    const submittedChanges = edit.changes.map(({ path, field, value }) => ({ path, field, value }));
    return isDeepStrictEqual(recordedChanges, submittedChanges);
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
    const oldestBaseVersion = (document.recentEdits[0]?.version ?? document.version + 1) - 1;
    if (edit.baseVersion > document.version || edit.baseVersion < oldestBaseVersion) {
        faults.push({
            path: "baseVersion",
            found: `${edit.baseVersion}`,
            allowed: `a version from ${oldestBaseVersion} to ${document.version}`,
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
    appendAll(
        faults,
        edit.changes.flatMap((change, index) => checkChange(document.root, edit.changes, change, index)),
    );
    return faults;
}

function checkChange(
    root: RootNode,
    changes: readonly FieldChange[],
    change: FieldChange,
    index: number,
): readonly SettingsFault[] {
    const location = `${change.path === "" ? "(root)" : change.path}: ${change.field}`;
    const duplicate = changes.slice(0, index).find(other =>
        other.path === change.path && isOverlapping(other.field, change.field)
    );
    if (duplicate !== undefined) {
        return [{
            path: location,
            found: `changed twice, also as ${duplicate.field}`,
            allowed: "each field at most once in an edit",
            remedy: "keep one of the two",
        }];
    }
    if (hasBranch(root, change.path) || isBranchCreated(changes, change.path)) {
        return [];
    }
    return [{
        path: location,
        found: "no such branch",
        allowed: "a branch of the tree, or a new one that the same edit gives a kind",
        remedy: `check the path, or set "kind" on "${change.path}" in the same edit`,
    }];
}

/** Whether the edit sets a kind on the branch or below it, so that a mistyped path doesn't create a branch. */
function isBranchCreated(changes: readonly FieldChange[], path: string): boolean {
    return changes.some(other =>
        other.field === "kind" && other.value !== undefined &&
        (other.path === path || other.path.startsWith(`${path}/`))
    );
}

function findConflicts(document: TreeDocument, edit: TreeEdit): readonly FieldConflict[] {
    const laterEdits = document.recentEdits.filter(record => record.version > edit.baseVersion);
    return edit.changes.flatMap(change => findConflict(document, laterEdits, change) ?? []);
}

function findConflict(
    document: TreeDocument,
    laterEdits: readonly EditRecord[],
    change: FieldChange,
): FieldConflict | undefined {
    const { path, field, value: yours } = change;
    const firstOverlap = laterEdits
        .flatMap(record => record.changes)
        .find(other => other.path === path && isOverlapping(other.field, field));
    const theirs = getField(document.root, path, field);
    if (firstOverlap === undefined || isDeepStrictEqual(theirs, yours)) {
        return undefined;
    }
    return { path, field, base: getFormerValue(firstOverlap, field), theirs, yours };
}

/** Returns the value before a change that overlaps `field`, narrowed to `field` if the change covers more. */
function getFormerValue(change: FieldChange & { readonly before?: unknown; }, field: string): unknown {
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
