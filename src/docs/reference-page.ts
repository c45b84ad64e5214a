/** Renders the field tables of the reference pages from JSON Schemas. */
import type { JsonSchema } from "./json-schema.js";

/** A row of a field table, with its cells as Markdown. */
interface FieldRow {
    readonly field: string;
    readonly allowed: string;
    readonly defaultText: string;
    readonly meaning: string;
}

/**
 * Renders a Markdown table of all fields of an object, nested ones included.
 * @param defaults - Defaults by dotted name, for fields whose schema has none.
 */
export function renderFieldTable(
    schema: JsonSchema,
    defaults: ReadonlyMap<string, unknown> = new Map(),
): string {
    const rows = listRows(schema, "", defaults);
    return [
        "| field | allowed | default | meaning |",
        "|---|---|---|---|",
        ...rows.map(row => `| \`${row.field}\` | ${row.allowed} | ${row.defaultText} | ${row.meaning} |`),
    ].join("\n");
}

function listRows(
    schema: JsonSchema,
    prefix: string,
    defaults: ReadonlyMap<string, unknown>,
): readonly FieldRow[] {
    return Object.entries(schema.properties ?? {}).flatMap(([name, part]) => {
        const field = `${prefix}${name}`;
        const isRequired = schema.required?.includes(name) ?? false;
        return [makeRow(field, part, isRequired, defaults), ...listNestedRows(field, part, defaults)];
    });
}

function listNestedRows(
    field: string,
    schema: JsonSchema,
    defaults: ReadonlyMap<string, unknown>,
): readonly FieldRow[] {
    if (schema.properties !== undefined) {
        return listRows(schema, `${field}.`, defaults);
    }
    return schema.items?.properties === undefined ? [] : listRows(schema.items, `${field}[].`, defaults);
}

function makeRow(
    field: string,
    schema: JsonSchema,
    isRequired: boolean,
    defaults: ReadonlyMap<string, unknown>,
): FieldRow {
    const defaultValue = schema.default ?? defaults.get(field);
    return {
        field,
        allowed: formatCell(
            schema.allowed ?? (schema.properties === undefined ? schema.type ?? "" : "an object"),
        ),
        defaultText: formatDefault(defaultValue, isRequired),
        meaning: formatCell(schema.description ?? ""),
    };
}

function formatDefault(defaultValue: unknown, isRequired: boolean): string {
    if (isRequired) {
        return "required";
    }
    const isShown = defaultValue !== undefined &&
        (typeof defaultValue !== "object" || Array.isArray(defaultValue));
    return isShown ? `\`${JSON.stringify(defaultValue)}\`` : "";
}

function formatCell(text: string): string {
    return text.replaceAll("|", "\\|").replaceAll("\n", " ");
}
