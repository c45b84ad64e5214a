/** Formatting of command output as text. */
import type { FieldChange, FieldConflict, SettingsFault } from "../process/operator-gateway.js";

/** Formats rows as aligned columns; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string {
    const widths = rows.reduce<number[]>(
        (widest, row) => row.map((cell, column) => Math.max(widest[column] ?? 0, cell.length)),
        [],
    );
    return rows
        .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
        .join("\n");
}

/** Formats faults, each with the value found, the values allowed and the remedy, followed by their number. */
export function formatFaults(faults: readonly SettingsFault[]): string {
    const count = `${faults.length} fault${faults.length === 1 ? "" : "s"}`;
    const blocks = faults.map(({ path, found, allowed, remedy }) =>
        [path, `  found:   ${found}`, `  allowed: ${allowed}`, `  remedy:  ${remedy}`].join("\n")
    );
    return [...blocks, count].join("\n\n");
}

/** Formats a field as `BRANCH:FIELD`, the form used in edits. */
export function formatField(path: string, field: string): string {
    return `${path}:${field}`;
}

/** Formats a JSON value of the tree; undefined means that the branch inherits the field. */
export function formatJsonValue(value: unknown): string {
    return value === undefined ? "(inherited)" : JSON.stringify(value);
}

/** Formats the changes of an edit, one a line, with the former value if known. */
export function formatChanges(changes: readonly (FieldChange & { readonly before?: unknown; })[]): string {
    return changes
        .map(({ path, field, before, value }) =>
            `  ${formatField(path, field)}  ${formatJsonValue(before)} -> ${formatJsonValue(value)}`
        )
        .join("\n");
}

/** Formats conflicts, each with the base value and both new values. */
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
