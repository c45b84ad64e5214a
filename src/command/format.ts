/** Texts for people. */
import type { FieldChange, FieldConflict, SettingsFault } from "../process/operator-gateway.js";

/**
 * Formats rows in columns.
 * @param rows - The rows; the first is the head.
 */
export function formatTable(rows: readonly (readonly string[])[]): string {
    const widths = rows.reduce<number[]>(
        (widest, row) => row.map((cell, column) => Math.max(widest[column] ?? 0, cell.length)),
        [],
    );
    return rows
        .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
}

/**
 * Formats faults, each with what was found, what is allowed and the remedy.
 * @param faults - The faults.
 */
export function formatFaults(faults: readonly SettingsFault[]): string {
    const count = `${faults.length} fault${faults.length === 1 ? "" : "s"}`;
    const blocks = faults.map(({ path, found, allowed, remedy }) =>
        [path, `  found:   ${found}`, `  allowed: ${allowed}`, `  remedy:  ${remedy}`].join("\n")
    );
    return [...blocks, count].join("\n\n");
}

/**
 * Formats the place of a field as it is written in edits.
 * @param path - Path of the branch.
 * @param field - Name of the field.
 */
export function formatField(path: string, field: string): string {
    return `${path}:${field}`;
}

/**
 * Formats a value of the tree.
 * @param value - Any JSON value, or undefined where a branch has none of its own.
 */
export function formatJsonValue(value: unknown): string {
    return value === undefined ? "(inherited)" : JSON.stringify(value);
}

/**
 * Formats changes of an edit.
 * @param changes - The changes, with the former value where known.
 */
export function formatChanges(changes: readonly (FieldChange & { readonly before?: unknown; })[]): string {
    return changes
        .map(({ path, field, before, value }) =>
            `  ${formatField(path, field)}  ${formatJsonValue(before)} -> ${formatJsonValue(value)}`
        )
        .join("\n");
}

/**
 * Formats conflicts with all three values.
 * @param conflicts - The conflicts.
 */
export function formatConflicts(conflicts: readonly FieldConflict[]): string {
    return conflicts
        .map(({ path, field, base, theirs, yours }) =>
            [
                `${formatField(path, field)} was changed meanwhile`,
                `  before: ${formatJsonValue(base)}`,
                `  theirs: ${formatJsonValue(theirs)}`,
                `  yours:  ${formatJsonValue(yours)}`,
            ].join("\n")
        )
        .join("\n");
}
