/** Generation of JSON Schemas for the settings files; editors validate with them. */
import { z } from "zod";

/** The parts of a JSON Schema that the reference pages use. */
export interface JsonSchema {
    readonly $ref?: string;
    readonly type?: string;
    readonly description?: string;
    readonly allowed?: string;
    readonly unit?: string;
    readonly default?: unknown;
    readonly properties?: Readonly<Record<string, JsonSchema>>;
    readonly required?: readonly string[];
    readonly additionalProperties?: JsonSchema | boolean;
    readonly items?: JsonSchema;
}

/**
 * Builds the JSON Schema of a settings file. It describes the input form, in which fields with a default are
 * optional.
 */
export function buildJsonSchema(schema: z.ZodType, title: string): JsonSchema & { readonly title: string; } {
    const json = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" }) as JsonSchema;
    return { title, ...json };
}
