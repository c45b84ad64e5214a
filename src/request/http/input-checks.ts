/** Validation of headers, query parameters and JSON bodies. Reports all faults of an input together. */
import type { z } from "zod";
import type { SettingsFault } from "../../process/operator-gateway.js";

/** Result of a check: the value, or all faults. */
export type Checked<Value> =
    | { readonly kind: "valid"; readonly value: Value; }
    | { readonly kind: "invalid"; readonly faults: readonly SettingsFault[]; };

/** Length to which a found value is truncated in an answer. */
const MAX_FOUND_LENGTH = 80;
/** Largest number of faults listed in one answer. */
const MAX_FAULTS = 50;

/**
 * Parses and checks a JSON body.
 * @param schema - A strict schema whose messages state what is allowed.
 */
export function parseJsonBody<Schema extends z.ZodType>(
    body: Uint8Array,
    schema: Schema,
): Checked<z.output<Schema>> {
    let value: unknown;
    try {
        value = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(body));
    }
    catch (error) {
        const found = error instanceof Error ? error.message : String(error);
        return {
            kind: "invalid",
            faults: [buildFault("body", found, "a JSON object in UTF-8", "send valid JSON")],
        };
    }
    return checkValue(value, schema);
}

/**
 * Checks an untrusted value.
 * @param schema - A strict schema whose messages state what is allowed.
 */
export function checkValue<Schema extends z.ZodType>(
    value: unknown,
    schema: Schema,
): Checked<z.output<Schema>> {
    const result = schema.safeParse(value);
    if (result.success) {
        return { kind: "valid", value: result.data };
    }
    const faults = result.error.issues.flatMap(issue => listFaults(issue, value));
    return { kind: "invalid", faults: faults.slice(0, MAX_FAULTS) };
}

/** Builds a fault; a long `found` is truncated. */
export function buildFault(path: string, found: string, allowed: string, remedy: string): SettingsFault {
    return { path, found: truncateText(found), allowed, remedy };
}

/**
 * Parses an integer from text, such as a header or a query parameter.
 * @param path - Name of the input, for the fault.
 * @param text - The input; undefined yields the fallback.
 */
export function parseWholeNumber(
    path: string,
    text: string | undefined,
    range: { readonly least: number; readonly most: number; readonly fallback: number; },
): Checked<number> {
    if (text === undefined) {
        return { kind: "valid", value: range.fallback };
    }
    const value = /^\d{1,15}$/.test(text) ? Number(text) : Number.NaN;
    if (value >= range.least && value <= range.most) {
        return { kind: "valid", value };
    }
    const allowed = `a whole number from ${range.least} to ${range.most}`;
    return { kind: "invalid", faults: [buildFault(path, text, allowed, `give ${allowed}, or leave it out`)] };
}

/**
 * Checks a text against a pattern.
 * @param allowed - Description of what the pattern allows, for the fault.
 */
export function checkText(
    path: string,
    text: string | undefined,
    pattern: RegExp,
    allowed: string,
): Checked<string | undefined> {
    if (text === undefined || pattern.test(text)) {
        return { kind: "valid", value: text };
    }
    return { kind: "invalid", faults: [buildFault(path, text, allowed, `give ${allowed}, or leave it out`)] };
}

function listFaults(issue: z.core.$ZodIssue, value: unknown): SettingsFault[] {
    const path = issue.path.join(".");
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key =>
            buildFault(
                path === "" ? key : `${path}.${key}`,
                "an unknown field",
                "no such field",
                "remove the field",
            )
        );
    }
    const found = describeFound(findValueAt(value, issue.path));
    return [buildFault(path === "" ? "body" : path, found, issue.message, `change it to: ${issue.message}`)];
}

function findValueAt(value: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>(
        (inner, key) =>
            typeof inner === "object" ?
                (inner as Record<PropertyKey, unknown> | undefined)?.[key] :
                undefined,
        value,
    );
}

function describeFound(found: unknown): string {
    return found === undefined ? "nothing" : JSON.stringify(found) ?? String(found);
}

function truncateText(text: string): string {
    return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text;
}
