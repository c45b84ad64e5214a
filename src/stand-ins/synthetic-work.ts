/** Task payloads and service bodies for the stand-in worker: JSON text that describes work to simulate. */
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

/** A task to simulate. */
export interface SyntheticTask {
    /** Run time without throttling. */
    readonly runMs: Millis;
    readonly answer: string;
    /** Error text; if set, the task fails with it instead of answering. */
    readonly fail: string | undefined;
    /** Actual resource usage; the declared resources if undefined. */
    readonly actual: Resources | undefined;
    readonly checkpointable: boolean;
}

/** A service request to simulate. */
export interface SyntheticRequest {
    /** Processing time. */
    readonly serviceMs: Millis;
    /** Text of the answer; the request's body is echoed if undefined. */
    readonly answer: string | undefined;
    /** Error text; if set, the request fails with it instead of answering. */
    readonly fail: string | undefined;
}

const DEFAULT_RUN_MS = 100;
const DEFAULT_SERVICE_MS = 5;

/**
 * Parses a task payload.
 * @param payload - JSON text; every field may be omitted.
 * @returns The task to simulate; for malformed text a task that fails at once.
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
 * Parses the body of a service request.
 * @param body - JSON text; any other body is echoed.
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
