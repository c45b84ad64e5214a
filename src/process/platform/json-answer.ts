/** Parses and validates JSON answers of the platform and of workers. */
import type { z } from "zod";
import { convertFailure } from "./http-request.js";
import type { FailureOutcome, HttpResult } from "./http-request.js";

/** A validated answer. */
export type JsonAnswer<Value, Refusal> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | FailureOutcome;

/** HTTP status codes of the protocol in docs/PLATFORM-PROTOCOL.md. */
export const HttpStatus = {
    done: 200,
    invalid: 400,
    refused: 409,
    tooMany: 429,
    serverError: 500,
    unavailable: 503,
} as const;

/**
 * Parses an answer.
 * @param valueSchema - Schema of the `value` field of a successful answer.
 * @param refusalSchema - Schema of the body of a refusal.
 * @returns The answer; `unknown` if it cannot be parsed, since the request may have had its effect.
 */
export function parseJsonAnswer<Value, Refusal>(
    end: HttpResult,
    valueSchema: z.ZodType<Value>,
    refusalSchema: z.ZodType<Refusal>,
): JsonAnswer<Value, Refusal> {
    return end.kind === "response" ?
        parseResponse(end.status, end.body, valueSchema, refusalSchema) :
        convertFailure(end);
}

function parseResponse<Value, Refusal>(
    status: number,
    body: Buffer,
    valueSchema: z.ZodType<Value>,
    refusalSchema: z.ZodType<Refusal>,
): JsonAnswer<Value, Refusal> {
    if (status === HttpStatus.done) {
        const parsed = valueSchema.safeParse(parseBody(body)?.value);
        return parsed.success ? { kind: "done", value: parsed.data } : UNREADABLE;
    }
    if (status === HttpStatus.refused) {
        const parsed = refusalSchema.safeParse(parseBody(body));
        return parsed.success ? { kind: "refused", refusal: parsed.data } : UNREADABLE;
    }
    const message = `HTTP status ${status}: ${body.toString("utf8", 0, MAX_MESSAGE_BYTES)}`;
    const hadNoEffect = status < HttpStatus.serverError || status === HttpStatus.unavailable;
    return { kind: hadNoEffect ? "unavailable" : "unknown", message };
}

function parseBody(body: Buffer): { readonly value?: unknown; } | undefined {
    try {
        return JSON.parse(body.toString("utf8")) as { readonly value?: unknown; };
    }
    catch {
        return undefined;
    }
}

const MAX_MESSAGE_BYTES = 200;
const UNREADABLE = { kind: "unknown", message: "the answer does not follow the protocol" } as const;
