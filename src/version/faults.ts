/**
 * Validates JSON against schemas and converts validation issues to faults, which name the field, the value
 * found, the values allowed and the remedy. Used for the settings tree and for entry settings.
 */
import { z } from "zod";
import type { SettingsFault } from "../process/operator-gateway.js";

/** Result of a validation. */
export type Checked<Value> =
    | { readonly kind: "valid"; readonly value: Value; }
    | { readonly kind: "faults"; readonly faults: readonly SettingsFault[]; };

type Path = readonly PropertyKey[];

const MAX_FORMATTED_LENGTH = 80;

/**
 * Validates a value against a schema and reports all faults at once.
 * @param value - The value, as parsed from JSON.
 * @param formatPath - Formats the location of a fault; defaults to dotted names.
 */
export function validateBySchema<Value>(
    schema: z.ZodType<Value>,
    value: unknown,
    formatPath: (path: Path) => string = formatDottedPath,
): Checked<Value> {
    const result = schema.safeParse(value);
    if (result.success) {
        return { kind: "valid", value: result.data };
    }
    const faults = result.error.issues.flatMap(issue => describeIssue(schema, value, issue, formatPath));
    return { kind: "faults", faults };
}

/**
 * Parses JSON text.
 * @param name - Path reported in the fault.
 * @returns The value, or one fault with the parser's message.
 */
export function parseJson(text: string, name: string): Checked<unknown> {
    try {
        return { kind: "valid", value: JSON.parse(text) };
    }
    catch (error) {
        return {
            kind: "faults",
            faults: [{
                path: name,
                found: error instanceof Error ? error.message : String(error),
                allowed: "JSON text",
                remedy: "mend the text at the place named, or restore the last text that was valid",
            }],
        };
    }
}

/**
 * Formats a JSON value, or undefined, for a message; long text is truncated.
 */
export function formatValue(value: unknown): string {
    const text = value === undefined ? "nothing" : JSON.stringify(value) ?? String(value);
    return text.length <= MAX_FORMATTED_LENGTH ? text : `${text.slice(0, MAX_FORMATTED_LENGTH)}…`;
}

function formatDottedPath(path: Path): string {
    return path.length === 0 ? "(whole document)" : path.map(String).join(".");
}

function getValueAt(value: unknown, path: Path): unknown {
    let current = value;
    for (const key of path) {
        if (typeof current !== "object" || !current) {
            return undefined;
        }
        current = Object.hasOwn(current, key) ? (current as Record<PropertyKey, unknown>)[key] : undefined;
    }
    return current;
}

function describeIssue(
    schema: z.ZodType,
    root: unknown,
    issue: z.core.$ZodIssue,
    formatPath: (path: Path) => string,
): readonly SettingsFault[] {
    if (issue.code === "unrecognized_keys") {
        const allowed = listKeysAt(schema, issue.path);
        return issue.keys.map(key => ({
            path: formatPath([...issue.path, key]),
            found: `unknown field ${JSON.stringify(key)}`,
            allowed: allowed.length === 0 ? "no fields" : `the fields ${allowed.join(", ")}`,
            remedy: describeUnknownField(key, allowed),
        }));
    }
    const isKeyIssue = issue.code === "invalid_key";
    const found = isKeyIssue ? issue.path.at(-1) : getValueAt(root, issue.path);
    const target = findSchemaAt(schema, issue.path, isKeyIssue);
    const allowed = findAllowedText(target) ?? issue.message;
    return [{
        path: formatPath(issue.path),
        found: isSecret(target) ? `a value of ${String(found).length} characters` : formatValue(found),
        allowed,
        remedy: describeRemedy(found, allowed, target),
    }];
}

/** Milliseconds in each unit that users append to a duration. */
const DURATION_UNITS: Readonly<Record<string, number>> = {
    ms: 1,
    s: 1_000,
    m: 60_000,
    min: 60_000,
    h: 3_600_000,
};
const NUMBER_WITH_UNIT = /^\s*(\d+(?:\.\d+)?)\s*([a-z]*)\s*$/i;

function describeRemedy(found: unknown, allowed: string, schema: z.ZodType | undefined): string {
    if (found === undefined) {
        return `add the field: ${allowed}`;
    }
    const unit = schema === undefined ? undefined : z.globalRegistry.get(schema)?.unit;
    if (typeof found === "string" && unit !== undefined) {
        return describeUnitRemedy(found, unit) ?? `write a plain number: ${allowed}`;
    }
    return `use ${allowed}`;
}

function describeUnitRemedy(found: string, unit: string): string | undefined {
    const [, amount, suffix] = NUMBER_WITH_UNIT.exec(found) ?? [];
    if (amount === undefined) {
        return undefined;
    }
    const factor = unit === "milliseconds" ? DURATION_UNITS[suffix ?? ""] ?? 1 : 1;
    return `write a plain number without quotes or unit${unit === "" ? "" : `, in ${unit}`}, such as ${
        Math.round(Number(amount) * factor)
    }`;
}

function listKeysAt(schema: z.ZodType, path: Path): readonly string[] {
    const target = findSchemaAt(schema, path, false);
    return target instanceof z.ZodObject ? Object.keys(target.shape) : [];
}

/** Unwraps optional, default and lazy schemas. */
function getInnerSchema(schema: z.ZodType): z.ZodType {
    let current = schema;
    while (
        current instanceof z.ZodOptional || current instanceof z.ZodDefault || current instanceof z.ZodLazy
    ) {
        current = current.unwrap() as z.ZodType;
    }
    return current;
}

function findSchemaAt(schema: z.ZodType, path: Path, wantsKey: boolean): z.ZodType | undefined {
    let current = getInnerSchema(schema);
    for (const [index, key] of path.entries()) {
        const next = getChildSchema(current, key, wantsKey && index === path.length - 1);
        if (next === undefined) {
            return undefined;
        }
        current = getInnerSchema(next);
    }
    return current;
}

function getChildSchema(schema: z.ZodType, key: PropertyKey, wantsKey: boolean): z.ZodType | undefined {
    if (schema instanceof z.ZodObject) {
        return schema.shape[String(key)] as z.ZodType | undefined;
    }
    if (schema instanceof z.ZodRecord) {
        return (wantsKey ? schema.keyType : schema.valueType) as z.ZodType;
    }
    return schema instanceof z.ZodArray ? schema.element as z.ZodType : undefined;
}

function isSecret(schema: z.ZodType | undefined): boolean {
    return schema !== undefined && z.globalRegistry.get(schema)?.secret === true;
}

function findAllowedText(schema: z.ZodType | undefined): string | undefined {
    if (schema === undefined) {
        return undefined;
    }
    const allowed = z.globalRegistry.get(schema)?.allowed;
    if (allowed !== undefined) {
        return allowed;
    }
    return schema instanceof z.ZodObject || schema instanceof z.ZodRecord ? "an object" : undefined;
}

function describeUnknownField(key: string, allowed: readonly string[]): string {
    const nearest = findNearestName(key, allowed);
    return nearest === undefined ?
        "remove the field, or check its name and place in the reference page" :
        `remove the field, or write ${JSON.stringify(nearest)} if that was meant`;
}

/** Largest edit distance, as a share of the name's length, at which a known name is suggested. */
const MAX_EDIT_DISTANCE_RATIO = 0.4;

function findNearestName(key: string, candidates: readonly string[]): string | undefined {
    let nearest: string | undefined;
    let leastDistance = Math.ceil(key.length * MAX_EDIT_DISTANCE_RATIO) + 1;
    for (const candidate of candidates) {
        const distance = computeEditDistance(key.toLowerCase(), candidate.toLowerCase());
        if (distance < leastDistance) {
            nearest = candidate;
            leastDistance = distance;
        }
    }
    return nearest;
}

/** Computes the Levenshtein distance. */
function computeEditDistance(left: string, right: string): number {
    let previous = Array.from({ length: right.length + 1 }, (...[, index]) => index);
    for (let row = 1; row <= left.length; row++) {
        const current = [row];
        for (let column = 1; column <= right.length; column++) {
            const substitutionCost = left[row - 1] === right[column - 1] ? 0 : 1;
            current.push(Math.min(
                (previous[column] ?? 0) + 1,
                (current[column - 1] ?? 0) + 1,
                (previous[column - 1] ?? 0) + substitutionCost,
            ));
        }
        previous = current;
    }
    return previous[right.length] ?? 0;
}
