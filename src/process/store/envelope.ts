/**
 * The envelope around every value in the store. Its format number lets an older program refuse values that a
 * newer one wrote; its write id identifies a write whose answer was lost.
 */

/** Format that this program writes, and the highest that it can read. */
export const ENVELOPE_FORMAT = 1;

/** A value read from the store. */
export type DecodedEnvelope =
    | { readonly kind: "value"; readonly writeId: string; readonly data: string; }
    /** Written by a newer program. */
    | { readonly kind: "newer"; readonly format: number; }
    /** No envelope, or a damaged one. */
    | { readonly kind: "corrupt"; };

/**
 * Wraps a value in an envelope.
 * @param writeId - Unique for each write; the same for all attempts of that write.
 */
export function encodeEnvelope(writeId: string, data: string): string {
    return JSON.stringify({ format: ENVELOPE_FORMAT, writeId, data });
}

/** Decodes an envelope as read from the store. */
export function decodeEnvelope(text: string): DecodedEnvelope {
    const parsed = parseObject(text);
    if (parsed === undefined || typeof parsed.format !== "number") {
        return { kind: "corrupt" };
    }
    if (parsed.format > ENVELOPE_FORMAT) {
        return { kind: "newer", format: parsed.format };
    }
    if (typeof parsed.writeId !== "string" || typeof parsed.data !== "string") {
        return { kind: "corrupt" };
    }
    return { kind: "value", writeId: parsed.writeId, data: parsed.data };
}

function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        const parsed: unknown = JSON.parse(text);
        return isRecord(parsed) ? parsed : undefined;
    }
    catch {
        return undefined;
    }
}

function isRecord(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}
