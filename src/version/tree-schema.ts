/** Schema and types of the settings tree as stored: JSON with defaults omitted. */
import { z } from "zod";
import { WorkKind } from "../request/work.js";
import {
    buildChoiceSchema,
    buildCountSchema,
    buildFlagSchema,
    buildMillisSchema,
    buildNumberSchema,
    buildTextSchema,
} from "./field-schemas.js";
import { ALL_POLICY_NAMES } from "./policies.js";
import { Adoption, Spread } from "./settings.js";

/** Version of the storage format that this program writes; higher versions are refused. */
export const TREE_FORMAT = 1;

const SECOND = 1_000;
const HOUR = 3_600 * SECOND;
const DAY = 24 * HOUR;
const NAME_ALLOWED = "1 to 63 lower-case letters, digits and hyphens, beginning with a letter or digit";
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

const resourceFields = {
    cpuMillis: buildCountSchema(
        0,
        100_000_000,
        "Processors, in thousandths: 1000 is one.",
        "thousandths of a processor",
    ),
    memoryMib: buildCountSchema(0, 1_000_000_000, "Memory.", "mebibytes"),
    accelerators: buildCountSchema(0, 1_000_000, "Accelerators, whole.", "accelerators"),
};
const resourcesSchema = z.strictObject(resourceFields).meta({
    allowed: "{cpuMillis, memoryMib, accelerators}, all three",
});

/** Settings of a branch; fields that it omits are inherited. */
export const branchSettingsSchema = z.strictObject({
    adoption: buildChoiceSchema(
        Object.values(Adoption),
        "How far the branch follows the tree: `off` refuses its work, `shadow` decides and logs without acting, `on` acts.",
    ),
    policy: buildChoiceSchema(
        ALL_POLICY_NAMES,
        "Placement policy. Left out everywhere above, it is the default of the branch's kind.",
    ),
    weight: buildNumberSchema(0.001, 1_000, "Share of the branch against others, for policies that weigh."),
    queueLimit: buildCountSchema(
        1,
        1_000_000,
        "Requests or tasks that may wait at one placer; more are shed.",
        "requests or tasks",
    ),
    maxWaitMs: buildMillisSchema(
        1,
        HOUR,
        "Longest wait of a service request before it is shed; jobs wait without limit.",
    ),
    slotsPerWorker: buildCountSchema(
        1,
        100_000,
        "Service requests at once on one worker; the worker's own slots bound it too.",
        "requests",
    ),
    connectionsPerWorker: buildCountSchema(
        1,
        100_000,
        "Connections kept to one worker at most.",
        "connections",
    ),
    attemptTimeoutMs: buildMillisSchema(1, HOUR, "Time for one try of a service request."),
    maxAttempts: buildCountSchema(
        1,
        100,
        "Tries of a repeatable request or task, the first included. Work that is not repeatable is tried once.",
        "tries",
    ),
    retryShare: buildNumberSchema(0, 1, "Retries as a share of fresh requests."),
    spread: buildChoiceSchema(
        Object.values(Spread),
        "What the tasks of one job are kept apart by, where that can be done.",
    ),
    agingPerMinute: buildNumberSchema(
        0,
        1_000_000,
        "Rank added for each minute of waiting, so that nothing starves; the unit is the policy's.",
    ),
    preemptible: buildFlagSchema("Whether running tasks may give way to urgent ones."),
    defaultResources: z.strictObject(resourceFields).partial().meta({
        description: "Size of a task where its caller gives none; each part is inherited by itself.",
        allowed: "{cpuMillis, memoryMib, accelerators}, any of them",
    }),
    defaultEstimateMs: buildMillisSchema(1, 365 * DAY, "Run time of a task where its caller gives none."),
    maxRunMs: buildMillisSchema(
        0,
        365 * DAY,
        "Longest run time before a task is stopped as failed; 0 for none.",
    ),
    retentionMs: buildMillisSchema(
        60 * SECOND,
        30 * DAY,
        "Time that ended work and its idempotency keys are remembered.",
    ),
}).partial();

/** Settings that apply to the whole cell. */
export const cellSettingsSchema = z.strictObject({
    workerLeaseMs: buildMillisSchema(
        2 * SECOND,
        HOUR,
        "Time that a worker goes on running tasks without a renewal.",
    ),
    memberTtlMs: buildMillisSchema(SECOND, 60 * SECOND, "Time to live of an entry's lease in the store."),
    digestMs: buildMillisSchema(20, 10 * SECOND, "Time between digests from one entry to another."),
    freshMs: buildMillisSchema(
        200,
        60 * SECOND,
        "Age at which what a peer or the store said no longer counts as fresh; an entry that hears nothing for so long stops taking work.",
    ),
    outageToleranceMs: buildMillisSchema(
        SECOND,
        DAY,
        "Longest time an entry acts without the store, while a majority of entries agrees that it is down.",
    ),
    clockDrift: buildNumberSchema(
        0,
        0.2,
        "Share by which two clocks may drift apart: 0.01 is one in a hundred.",
    ),
    storeWritesPerSecond: buildCountSchema(
        1,
        100_000,
        "Store writes a second, all entries together.",
        "writes",
    ),
    storeReadsPerSecond: buildCountSchema(
        1,
        100_000,
        "Store reads and waiting watches a second, all entries together.",
        "reads",
    ),
    ejectionCap: buildNumberSchema(0, 1, "Largest share of workers that may be ejected at once."),
    ejectionFailures: buildCountSchema(
        1,
        10_000,
        "Failures in a row, above the fleet's own rate, that eject a worker.",
        "failures",
    ),
    ejectionMs: buildMillisSchema(
        SECOND,
        DAY,
        "Time for which a worker stays ejected before it is tried again.",
    ),
    recoveryStartsPerSecond: buildCountSchema(
        1,
        100_000,
        "Lost tasks started again a second at most, at one placer.",
        "starts",
    ),
    preemptionsPerMinute: buildCountSchema(
        0,
        1_000_000,
        "Preemptions a minute at most, at one placer.",
        "preemptions",
    ),
}).partial();

/** Weight, quota and tokens of a team. */
export const teamSchema = z.strictObject({
    weight: buildNumberSchema(0.001, 1_000, "Share of the team against others.").optional(),
    quota: resourcesSchema.meta({
        description:
            "Most that the team's tasks may use at once over the whole cell; left out, there is no limit.",
    }).optional(),
    tokenHashes: z.array(
        buildTextSchema(
            /^[0-9a-f]{64}$/,
            "the SHA-256 of a token as 64 lower-case hexadecimal digits",
            "SHA-256 of one token.",
        ),
    ).max(32).meta({
        description:
            "SHA-256 of the tokens of the team's callers; several, so that tokens can be changed without a gap.",
        allowed: "list of at most 32 hashes",
    }).optional(),
});

const kindSchema = buildChoiceSchema(
    Object.values(WorkKind),
    "Kind of the work that the branch takes. A branch without it only groups others.",
).optional();

const nameSchema = buildTextSchema(NAME_PATTERN, NAME_ALLOWED, "Name of a branch or team.");

/** A branch below the root. */
export interface TreeNode {
    readonly kind?: WorkKind;
    readonly settings?: z.infer<typeof branchSettingsSchema>;
    readonly children?: Readonly<Record<string, TreeNode>>;
}

/** The root: its settings are inherited by every branch, and it holds the cell's settings and the teams. */
export interface RootNode extends Omit<TreeNode, "kind"> {
    readonly cell?: z.infer<typeof cellSettingsSchema>;
    readonly teams?: Readonly<Record<string, z.infer<typeof teamSchema>>>;
}

const nodeSchema: z.ZodType<TreeNode> = z.strictObject({
    kind: kindSchema,
    settings: branchSettingsSchema.optional(),
    get children() {
        return z.record(nameSchema, nodeSchema).optional();
    },
}).meta({ id: "branch" });

/** Schema of the root of the tree. */
export const rootSchema = z.strictObject({
    settings: branchSettingsSchema.meta({ description: "Defaults that every branch inherits." }).optional(),
    cell: cellSettingsSchema.meta({ description: "Settings of the whole cell." }).optional(),
    teams: z.record(nameSchema, teamSchema).meta({ description: "Teams, by name." }).optional(),
    children: z.record(nameSchema, nodeSchema).meta({ description: "Branches, by name." }).optional(),
});

const changeSchema = z.strictObject({
    path: z.string(),
    field: z.string(),
    value: z.unknown().optional(),
    before: z.unknown().optional(),
});

/** Schema of one edit in the history. */
export const editRecordSchema = z.strictObject({
    editId: z.string(),
    version: z.int().min(1),
    author: z.string(),
    wallMs: z.number(),
    changes: z.array(changeSchema),
});

/** Schema of the stored document. */
export const treeDocumentSchema = z.strictObject({
    format: z.literal(TREE_FORMAT).meta({
        description: "Format of the document.",
        allowed: `${TREE_FORMAT}`,
    }),
    version: buildCountSchema(
        0,
        Number.MAX_SAFE_INTEGER,
        "Rises by one with each edit; given by the system.",
    ),
    root: rootSchema.meta({ description: "The root of the tree." }),
    recentEdits: z.array(editRecordSchema).meta({ description: "The last edits; kept by the system." }),
});

/** The stored document: a tree with its version and edit history. */
export interface TreeDocument {
    readonly format: typeof TREE_FORMAT;
    readonly version: number;
    readonly root: RootNode;
    readonly recentEdits: readonly z.infer<typeof editRecordSchema>[];
}
