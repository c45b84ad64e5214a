/**
 * Schemas of single settings. Each carries its meaning (`description`) and what it allows in words (`allowed`),
 * from which faults, the reference pages and the JSON Schemas are made.
 */
import { z } from "zod";

declare module "zod" {
    interface GlobalMeta {
        /** What the field accepts, in words, for faults and reference pages. */
        allowed?: string;
        /** Unit of a number. */
        unit?: string;
        /** Whether a found value must not be shown. */
        secret?: boolean;
    }
}

/**
 * Schema of a duration.
 * @param min - Least milliseconds.
 * @param max - Most milliseconds.
 * @param about - What the field means.
 */
export function buildMillisSchema(min: number, max: number, about: string): z.ZodNumber {
    return z.int().min(min).max(max).meta({
        description: about,
        unit: "milliseconds",
        allowed: `whole number of milliseconds from ${min} to ${max}`,
    });
}

/**
 * Schema of a whole number.
 * @param min - Least value.
 * @param max - Most.
 * @param about - What the field means.
 * @param unit - What is counted, in words.
 */
export function buildCountSchema(min: number, max: number, about: string, unit = ""): z.ZodNumber {
    const allowed = unit === "" ?
        `whole number from ${min} to ${max}` :
        `whole number of ${unit} from ${min} to ${max}`;
    return z.int().min(min).max(max).meta({ description: about, unit, allowed });
}

/**
 * Schema of a number that need not be whole.
 * @param min - Least value.
 * @param max - Most.
 * @param about - What the field means.
 */
export function buildNumberSchema(min: number, max: number, about: string): z.ZodNumber {
    return z.number().min(min).max(max).meta({
        description: about,
        allowed: `number from ${min} to ${max}`,
    });
}

/**
 * Schema of one word out of several.
 * @param values - The words.
 * @param about - What the field means.
 */
export function buildChoiceSchema<const Values extends readonly string[]>(values: Values, about: string) {
    return z.enum(values).meta({
        description: about,
        allowed: `one of ${values.map(value => JSON.stringify(value)).join(", ")}`,
    });
}

/**
 * Schema of a text that matches a pattern.
 * @param pattern - The pattern, anchored.
 * @param allowed - The pattern in words.
 * @param about - What the field means.
 */
export function buildTextSchema(pattern: RegExp, allowed: string, about: string): z.ZodString {
    return z.string().regex(pattern).meta({ description: about, allowed });
}

/**
 * Schema of true or false.
 * @param about - What the field means.
 */
export function buildFlagSchema(about: string): z.ZodBoolean {
    return z.boolean().meta({ description: about, allowed: "true or false" });
}
