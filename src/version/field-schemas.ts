/**
 * Builders for the schemas of single settings. Each schema carries its meaning (`description`) and a textual
 * form of what it allows (`allowed`), which faults, the reference pages and the JSON Schemas show.
 */
import { z } from "zod";

declare module "zod" {
    interface GlobalMeta {
        /** What the field accepts, as text for faults and reference pages. */
        allowed?: string;
        /** Unit of a number. */
        unit?: string;
        /** Whether faults must not show the value. */
        secret?: boolean;
    }
}

/**
 * Builds the schema of a duration.
 * @param min - Minimum, in milliseconds.
 * @param max - Maximum, in milliseconds.
 * @param meaning - Description of the field.
 */
export function buildMillisSchema(min: number, max: number, meaning: string): z.ZodNumber {
    return z.int().min(min).max(max).meta({
        description: meaning,
        unit: "milliseconds",
        allowed: `whole number of milliseconds from ${min} to ${max}`,
    });
}

/**
 * Builds the schema of an integer.
 * @param min - Minimum, inclusive.
 * @param max - Maximum, inclusive.
 * @param meaning - Description of the field.
 * @param unit - Unit in words; empty if there is none.
 */
export function buildCountSchema(min: number, max: number, meaning: string, unit = ""): z.ZodNumber {
    const allowed = unit === "" ?
        `whole number from ${min} to ${max}` :
        `whole number of ${unit} from ${min} to ${max}`;
    return z.int().min(min).max(max).meta({ description: meaning, unit, allowed });
}

/**
 * Builds the schema of a number with fractions allowed.
 * @param min - Minimum, inclusive.
 * @param max - Maximum, inclusive.
 * @param meaning - Description of the field.
 */
export function buildNumberSchema(min: number, max: number, meaning: string): z.ZodNumber {
    return z.number().min(min).max(max).meta({
        description: meaning,
        allowed: `number from ${min} to ${max}`,
    });
}

/**
 * Builds the schema of a string enumeration.
 * @param values - The allowed values.
 * @param meaning - Description of the field.
 */
export function buildChoiceSchema<const Values extends readonly string[]>(values: Values, meaning: string) {
    return z.enum(values).meta({
        description: meaning,
        allowed: `one of ${values.map(value => JSON.stringify(value)).join(", ")}`,
    });
}

/**
 * Builds the schema of a string that matches a pattern.
 * @param pattern - The pattern, anchored.
 * @param allowed - Description of the pattern.
 * @param meaning - Description of the field.
 */
export function buildTextSchema(pattern: RegExp, allowed: string, meaning: string): z.ZodString {
    return z.string().regex(pattern).meta({ description: meaning, allowed });
}

/**
 * Builds the schema of a boolean.
 * @param meaning - Description of the field.
 */
export function buildFlagSchema(meaning: string): z.ZodBoolean {
    return z.boolean().meta({ description: meaning, allowed: "true or false" });
}
