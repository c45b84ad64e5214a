/** Access to single fields of a tree by branch path and field name. */
import { isPlainObject } from "./inherit.js";
import type { RootNode } from "./tree-schema.js";

/** Fields stored directly on a branch; all others are stored in its `settings`. */
const TOP_LEVEL_FIELDS = new Set(["kind", "cell", "teams"]);

type JsonObject = Record<string, unknown>;

/** Lists the object keys that lead from the root to a branch; the empty path is the root. */
function listBranchKeys(path: string): readonly string[] {
    return path === "" ? [] : path.split("/").flatMap(name => ["children", name]);
}

function listFieldKeys(field: string): readonly string[] {
    const parts = field.split(".");
    return TOP_LEVEL_FIELDS.has(parts[0] ?? "") ? parts : ["settings", ...parts];
}

/**
 * Reads one field.
 * @param field - Dotted name of the field.
 * @returns The branch's own value, or undefined if it would inherit the field.
 */
export function getField(root: RootNode, path: string, field: string): unknown {
    let current: unknown = root;
    for (const key of [...listBranchKeys(path), ...listFieldKeys(field)]) {
        if (!isPlainObject(current) || !Object.hasOwn(current, key)) {
            return undefined;
        }
        current = current[key];
    }
    return current;
}

export function hasBranch(root: RootNode, path: string): boolean {
    let current: unknown = root;
    for (const key of listBranchKeys(path)) {
        if (!isPlainObject(current) || !Object.hasOwn(current, key)) {
            return false;
        }
        current = current[key];
    }
    return true;
}

/**
 * Returns a copy of the tree with one field changed.
 * @param path - Path of the branch, which is created if it does not exist.
 * @param field - Dotted name of the field.
 * @param value - The new value; undefined removes the field and all objects that become empty.
 */
export function withField(root: RootNode, path: string, field: string, value: unknown): RootNode {
    return withValue(root as JsonObject, [...listBranchKeys(path), ...listFieldKeys(field)], value) ?? {};
}

function withValue(object: JsonObject, keys: readonly string[], value: unknown): JsonObject | undefined {
    const [key, ...rest] = keys;
    if (key === undefined) {
        return object;
    }
    const before = Object.hasOwn(object, key) ? object[key] : undefined;
    const after = rest.length === 0 ? value : withValue(isPlainObject(before) ? before : {}, rest, value);
    const others = Object.entries(object).filter(([name]) => name !== key);
    const entries = after === undefined ?
        others :
        Object.entries(object).some(([name]) => name === key) ?
        Object.entries(object).map(([name, part]) => [name, name === key ? after : part] as const) :
        [...others, [key, after] as const];
    return entries.length === 0 ? undefined : Object.fromEntries(entries);
}

/** Tells whether two dotted names are equal or one contains the other. */
export function isOverlapping(left: string, right: string): boolean {
    return left === right || left.startsWith(`${right}.`) || right.startsWith(`${left}.`);
}
