/** Schemas of message bodies between this system, the platform and workers; see docs/PLATFORM-PROTOCOL.md. */
import { z } from "zod";
import { listOf } from "../../common/list-schema.js";
import type {
    StoreChanges,
    StoreListing,
    StoreRecord,
    StoreSwap,
    StoreTransaction,
    VmRecord,
    WorkerReport,
} from "../ports/index.js";
import { StoreRefusal, VmState, WorkerRefusal, WorkerTaskState } from "../ports/index.js";

/** Returns whether a text can be the URL of a connection pool. */
export function isHttpUrl(text: string): boolean {
    return URL.canParse(text) && new URL(text).protocol === "http:";
}

const revision = z.number().int().nonnegative();

export const recordSchema: z.ZodType<StoreRecord> = z.object({
    key: z.string(),
    value: z.string(),
    revision,
});

export const listingSchema: z.ZodType<StoreListing> = z.object({ records: listOf(recordSchema), revision });

export const changesSchema: z.ZodType<StoreChanges> = z.object({
    events: listOf(
        z.object({ key: z.string(), value: z.string().optional(), revision })
            .transform(event => ({ ...event, value: event.value })),
    ),
    revision,
});

export const storeRefusalSchema = z.object({
    reason: z.enum(Object.values(StoreRefusal)),
    current: recordSchema.optional(),
    standing: listOf(recordSchema).optional(),
});

export const transactionSchema: z.ZodType<StoreTransaction> = z.object({
    conditions: z.array(z.object({ key: z.string().min(1), revision })),
    writes: z.array(z.object({ key: z.string().min(1), value: z.string(), leaseId: z.string().optional() })),
    removals: z.array(z.string().min(1)),
});

export const swapSchema: z.ZodType<StoreSwap> = z.object({
    key: z.string().min(1),
    value: z.string().optional(),
    expectedRevision: revision,
    leaseId: z.string().optional(),
}).transform(swap => ({ ...swap, value: swap.value }));

export const grantSchema = z.object({ ttlMs: z.number().positive() });

export const vmSchema: z.ZodType<VmRecord> = z.object({
    workerId: z.string().min(1),
    url: z.string().refine(isHttpUrl),
    rack: z.string(),
    failureDomain: z.string(),
    state: z.enum(Object.values(VmState)),
});

/** The elements are decoded one by one, so that an odd one does not hide the others. */
export const vmListSchema = z.array(z.unknown());

const resourcesSchema = z.object({
    cpuMillis: z.number().int(),
    memoryMib: z.number().int(),
    accelerators: z.number().int(),
});

const taskSchema = z.object({
    attempt: z.string(),
    state: z.enum(Object.values(WorkerTaskState)),
    label: z.string(),
    resources: resourcesSchema,
    ranMs: z.number(),
    usage: resourcesSchema.optional(),
    answer: z.string().optional(),
    checkpoint: z.string().optional(),
    throttled: z.boolean().optional(),
});

export const reportSchema: z.ZodType<WorkerReport> = z.object({
    bootId: z.string(),
    workerNow: z.number(),
    capacity: resourcesSchema,
    slots: z.number().int(),
    maxConnections: z.number().int(),
    comparesEpochs: z.boolean(),
    leaving: z.boolean(),
    foreignUse: resourcesSchema,
    tasks: listOf(taskSchema),
    sequence: z.number().int(),
});

export const workerRefusalSchema = z.object({
    reason: z.enum(Object.values(WorkerRefusal)),
    message: z.string(),
});

const fenceShape = {
    epoch: z.number().int(),
    bootId: z.string().optional(),
    notAfter: z.number(),
};

export const attachSchema = z.object({ ...fenceShape, leaseMs: z.number() });

export const renewSchema = z.object({
    ...fenceShape,
    leaseMs: z.number(),
    afterSequence: z.number().int(),
    acknowledged: z.array(z.string()),
    waitMs: z.number(),
});

export const startSchema = z.object({
    ...fenceShape,
    attempt: z.string().min(1),
    label: z.string(),
    resources: resourcesSchema,
    payload: z.string(),
    checkpoint: z.string().optional(),
});

export const taskOrderSchema = z.object({ ...fenceShape, attempt: z.string().min(1) });

/** The value of an answer that has no value. */
export const undefinedSchema: z.ZodType<undefined> = z.undefined();
