/**
 * The ownership table, one record in the store: the members of the cell and the owner and epoch of each
 * slice. docs/design/ownership.md explains the design.
 */
import { z } from "zod";
import { HOME_SLICES, WORKER_SLICES } from "../../version/settings.js";
import type { Member, SliceOwner } from "../roles.js";

/** Key of the table in the store. */
export const TABLE_KEY = "cell/ownership";

/** Format of the table that this program writes; it refuses higher ones. */
export const TABLE_FORMAT = 1;

/** How the previous owner of a slice lost it. */
export const Predecessor = {
    /** There was no previous owner. */
    none: "none",
    /** It handed the slice over, after it had stopped renewing leases and sending orders. */
    released: "released",
    /** It was removed; it may still be running, cut off or paused. */
    lost: "lost",
} as const;
export type Predecessor = (typeof Predecessor)[keyof typeof Predecessor];

const memberSchema = z.object({
    memberId: z.string(),
    host: z.string(),
    peerPort: z.number().int(),
    httpUrl: z.string(),
    failureDomain: z.string(),
});

const sliceSchema = z.object({
    owner: z.string().optional(),
    epoch: z.number().int().nonnegative(),
    predecessor: z.enum(["none", "released", "lost"]),
});

const tableSchema = z.object({
    format: z.literal(TABLE_FORMAT),
    members: z.array(memberSchema),
    /** Members removed as lost; they count for majorities until they have certainly stopped. */
    lost: z.array(z.string()),
    /**
     * Failure domains of workers in the order in which they appeared, which determines the slices of their
     * racks.
     */
    workerDomains: z.array(z.string()),
    workerSlices: z.array(sliceSchema).length(WORKER_SLICES),
    homeSlices: z.array(sliceSchema).length(HOME_SLICES),
});

/** Owner of one slice in the table. */
export interface SliceEntry {
    readonly owner?: string;
    readonly epoch: number;
    readonly predecessor: Predecessor;
}

/** The table as an immutable value: every change creates a new one. */
export interface OwnershipTable {
    readonly format: typeof TABLE_FORMAT;
    readonly members: readonly Member[];
    readonly lost: readonly string[];
    readonly workerDomains: readonly string[];
    readonly workerSlices: readonly SliceEntry[];
    readonly homeSlices: readonly SliceEntry[];
}

/** Result of {@link parseTable}. */
export type ParsedTable =
    | { readonly kind: "table"; readonly table: OwnershipTable; }
    | { readonly kind: "unreadable"; readonly message: string; };

/**
 * Builds the table of a cell that has none: no members, and no slice has an owner.
 */
export function buildEmptyTable(): OwnershipTable {
    const unowned: SliceEntry = { epoch: 0, predecessor: Predecessor.none };
    return {
        format: TABLE_FORMAT,
        members: [],
        lost: [],
        workerDomains: [],
        workerSlices: new Array<SliceEntry>(WORKER_SLICES).fill(unowned),
        homeSlices: new Array<SliceEntry>(HOME_SLICES).fill(unowned),
    };
}

/**
 * Parses the stored table. A damaged table or one of a newer format is refused, never replaced: replacing it
 * would let two programs of different versions own the same slice.
 */
export function parseTable(text: string): ParsedTable {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return {
            kind: "unreadable",
            message: "the ownership table is not JSON: restore it from a backup of the store",
        };
    }
    const parsed = tableSchema.safeParse(value);
    if (!parsed.success) {
        const where = parsed.error.issues[0]?.path.join(".") ?? "";
        return {
            kind: "unreadable",
            message:
                `the ownership table is damaged or of a newer format (at "${where}"): run the newer program, or restore it`,
        };
    }
    return { kind: "table", table: parsed.data };
}

/**
 * Converts a table to the text that the store holds.
 */
export function encodeTable(table: OwnershipTable): string {
    return JSON.stringify(table);
}

/**
 * Returns the owner of a slice in the form that the roles use; undefined if it has none.
 */
export function getOwner(entry: SliceEntry | undefined): SliceOwner | undefined {
    if (entry?.owner === undefined) {
        return undefined;
    }
    return { memberId: entry.owner, epoch: entry.epoch };
}
