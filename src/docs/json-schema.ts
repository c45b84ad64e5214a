/** JSON Schemas of the settings files, for editors. */
import { z } from "zod";

/** A JSON Schema, as far as the reference pages read it. */
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
 * Builds the JSON Schema of a settings file.
 * @param schema - Its schema.
 * @param title - Title of the document.
 * @param io - `input` for a file that people write, where fields with a default may be left out.
 */
export function buildJsonSchema(schema: z.ZodType, title: string): JsonSchema & { readonly title: string; } {
    const json = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" }) as JsonSchema;
    return { title, ...json };
}
