/** Parses, validates and serializes the settings tree. */
import type { SettingsFault } from "../process/operator-gateway.js";
import { checkCrossFieldRules } from "./cross-field-rules.js";
import { type Checked, formatValue, parseJson, validateBySchema } from "./faults.js";
import { isPlainObject } from "./inherit.js";
import { type RootNode, TREE_FORMAT, type TreeDocument, treeDocumentSchema } from "./tree-schema.js";

/**
 * Parses the stored text of a tree.
 * @param text - JSON text.
 * @returns The tree, or all faults. Text of a newer format is refused as a whole, never read in part.
 */
export function parseTree(text: string): Checked<TreeDocument> {
    const parsed = parseJson(text, "tree");
    return parsed.kind === "valid" ? checkTree(parsed.value) : parsed;
}

/**
 * Checks a tree: its format, each field, and the rules across fields.
 * @param value - A tree as parsed from JSON.
 * @returns The tree, or all faults.
 */
export function checkTree(value: unknown): Checked<TreeDocument> {
    const formatFault = checkFormat(value);
    if (formatFault !== undefined) {
        return { kind: "faults", faults: [formatFault] };
    }
    const checked = validateBySchema<TreeDocument>(treeDocumentSchema, value, formatTreePath);
    if (checked.kind === "faults") {
        return checked;
    }
    const faults = checkCrossFieldRules(checked.value);
    return faults.length > 0 ? { kind: "faults", faults } : checked;
}

/** Serializes a tree to the text kept in the store. */
export function encodeTree(document: TreeDocument): string {
    return JSON.stringify(document);
}

/** A document whose top-level keys are all in this set is a bare root, the usual form of hand-written files. */
const ROOT_KEYS = new Set(["settings", "cell", "teams", "children"]);

/**
 * Parses a hand-written file, which holds either a whole document or only its root.
 * @param text - JSON text.
 * @returns The root, or all faults.
 */
export function parseTreeFile(text: string): Checked<RootNode> {
    const parsed = parseJson(text, "tree");
    if (parsed.kind === "faults") {
        return parsed;
    }
    const { value } = parsed;
    const isBareRoot = isPlainObject(value) && Object.keys(value).every(key => ROOT_KEYS.has(key));
    const checked = checkTree(
        isBareRoot ? { format: TREE_FORMAT, version: 0, root: value, recentEdits: [] } : value,
    );
    return checked.kind === "faults" ? checked : { kind: "valid", value: checked.value.root };
}

function checkFormat(value: unknown): SettingsFault | undefined {
    const format = isPlainObject(value) ? value["format"] : undefined;
    if (format === TREE_FORMAT) {
        return undefined;
    }
    const isNewer = typeof format === "number" && format > TREE_FORMAT;
    return {
        path: "format",
        found: formatValue(format),
        allowed: `${TREE_FORMAT}`,
        remedy: isNewer ?
            "the tree was written by a newer program: replace this entry by one of that version" :
            `set "format" to ${TREE_FORMAT}, or restore the last tree that was valid`,
    };
}

/** Formats the location of a fault as `branch: field`. */
function formatTreePath(path: readonly PropertyKey[]): string {
    const parts = path.map(String);
    if (parts[0] !== "root") {
        return parts.length === 0 ? "(whole document)" : parts.join(".");
    }
    let index = 1;
    const names: string[] = [];
    while (parts[index] === "children" && parts[index + 1] !== undefined) {
        names.push(parts[index + 1] ?? "");
        index += 2;
    }
    const rest = parts.slice(index);
    const field = (rest[0] === "settings" && rest.length > 1 ? rest.slice(1) : rest).join(".");
    const branch = names.length === 0 ? "(root)" : names.join("/");
    return field === "" ? branch : `${branch}: ${field}`;
}
