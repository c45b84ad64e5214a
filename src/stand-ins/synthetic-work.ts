/** Payloads and service bodies that the stand-in worker understands: JSON text describing work to imitate. */
import { z } from "zod";
import type { Millis } from "../common/clock.js";
import type { Resources } from "../common/resources.js";

const resourcesSchema = z.object({
    cpuMillis: z.number().int().nonnegative(),
    memoryMib: z.number().int().nonnegative(),
    accelerators: z.number().int().nonnegative(),
});

const taskSchema = z.object({
    runMs: z.number().nonnegative().optional(),
    answer: z.string().optional(),
    fail: z.string().optional(),
    actual: resourcesSchema.optional(),
    checkpointable: z.boolean().optional(),
});

const serviceSchema = z.object({
    serviceMs: z.number().nonnegative().optional(),
    answer: z.string().optional(),
    fail: z.string().optional(),
});

/** A task to imitate. */
export interface SyntheticTask {
    /** Time it runs when not slowed, in milliseconds. */
    readonly runMs: Millis;
    readonly answer: string;
    /** Error text it ends with, in place of an answer. */
    readonly fail: string | undefined;
    /** What it really uses; as declared where undefined. */
    readonly actual: Resources | undefined;
    readonly checkpointable: boolean;
}

/** A service request to imitate. */
export interface SyntheticRequest {
    /** Time it takes, in milliseconds. */
    readonly serviceMs: Millis;
    /** Text of the answer; the request's own body where undefined. */
    readonly answer: string | undefined;
    /** Error text it ends with, in place of an answer. */
    readonly fail: string | undefined;
}

const DEFAULT_RUN_MS = 100;
const DEFAULT_SERVICE_MS = 5;

/**
 * Reads a task payload.
 * @param payload - JSON text; every field may be left out.
 * @returns What to imitate; text that cannot be read becomes a task that fails at once.
 */
export function parseTask(payload: string): SyntheticTask {
    const parsed = taskSchema.safeParse(parseJson(payload));
    if (!parsed.success) {
        return {
            runMs: 0,
            answer: "",
            fail: "the payload is not a description of synthetic work: see docs/PLATFORM-PROTOCOL.md",
            actual: undefined,
            checkpointable: false,
        };
    }
    const { runMs, answer, fail, actual, checkpointable } = parsed.data;
    return {
        runMs: runMs ?? DEFAULT_RUN_MS,
        answer: answer ?? "ok",
        fail,
        actual,
        checkpointable: checkpointable ?? true,
    };
}

/**
 * Reads the body of a service request.
 * @param body - Bytes of the body; any that are no JSON object of the known form are echoed.
 */
export function parseRequest(body: Uint8Array): SyntheticRequest {
    const parsed = serviceSchema.safeParse(parseJson(Buffer.from(body).toString("utf8")));
    const fields = parsed.success ? parsed.data : {};
    return { serviceMs: fields.serviceMs ?? DEFAULT_SERVICE_MS, answer: fields.answer, fail: fields.fail };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text === "" ? "{}" : text);
    }
    catch {
        return undefined;
    }
}
