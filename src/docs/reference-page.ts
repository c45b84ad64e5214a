/** Renders reference pages from JSON Schemas and tables. */
import type { JsonSchema } from "./json-schema.js";

/** One row of a reference table. */
interface FieldRow {
    readonly field: string;
    readonly allowed: string;
    readonly fallback: string;
    readonly about: string;
}

/**
 * Renders a table of all fields below an object.
 * @param schema - Schema of the object.
 * @param fallbacks - Defaults by dotted name, where the schema has none.
 */
export function renderFieldTable(
    schema: JsonSchema,
    fallbacks: ReadonlyMap<string, unknown> = new Map(),
): string {
    const rows = listRows(schema, "", fallbacks);
    return [
        "| field | allowed | default | meaning |",
        "|---|---|---|---|",
        ...rows.map(row => `| \`${row.field}\` | ${row.allowed} | ${row.fallback} | ${row.about} |`),
    ].join("\n");
}

function listRows(
    schema: JsonSchema,
    prefix: string,
    fallbacks: ReadonlyMap<string, unknown>,
): readonly FieldRow[] {
    return Object.entries(schema.properties ?? {}).flatMap(([name, part]) => {
        const field = `${prefix}${name}`;
        const isRequired = schema.required?.includes(name) ?? false;
        return [makeRow(field, part, isRequired, fallbacks), ...listParts(field, part, fallbacks)];
    });
}

function listParts(
    field: string,
    schema: JsonSchema,
    fallbacks: ReadonlyMap<string, unknown>,
): readonly FieldRow[] {
    if (schema.properties !== undefined) {
        return listRows(schema, `${field}.`, fallbacks);
    }
    return schema.items?.properties === undefined ? [] : listRows(schema.items, `${field}[].`, fallbacks);
}

function makeRow(
    field: string,
    schema: JsonSchema,
    isRequired: boolean,
    fallbacks: ReadonlyMap<string, unknown>,
): FieldRow {
    const fallback = schema.default ?? fallbacks.get(field);
    return {
        field,
        allowed: formatCell(
            schema.allowed ?? (schema.properties === undefined ? schema.type ?? "" : "an object"),
        ),
        fallback: formatFallback(fallback, isRequired),
        about: formatCell(schema.description ?? ""),
    };
}

function formatFallback(fallback: unknown, isRequired: boolean): string {
    if (isRequired) {
        return "required";
    }
    const isShown = fallback !== undefined && (typeof fallback !== "object" || Array.isArray(fallback));
    return isShown ? `\`${JSON.stringify(fallback)}\`` : "";
}

function formatCell(text: string): string {
    return text.replaceAll("|", "\\|").replaceAll("\n", " ");
}
