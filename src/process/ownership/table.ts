/**
 * The ownership table: members of the cell and owner and epoch of each slice, one record of the store.
 * docs/design/ownership.md gives the reasons.
 */
import { z } from "zod";
import { HOME_SLICES, WORKER_SLICES } from "../../version/settings.js";
import type { Member, SliceOwner } from "../roles.js";

/** Key of the table in the store. */
export const TABLE_KEY = "cell/ownership";

/** Format of the table that this program writes; it refuses higher ones. */
export const TABLE_FORMAT = 1;

/** How the owner before came to lose a slice. */
export const Predecessor = {
    /** There was none. */
    none: "none",
    /** It handed the slice over: it had stopped renewing and ordering before. */
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
    /** Members removed as lost; they count for majorities until they are known to have stopped. */
    lost: z.array(z.string()),
    /** Failure domains of workers in order of first sight: fixes which slices a rack can lie in. */
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

/** The table as a value; every change makes a new one. */
export interface OwnershipTable {
    readonly format: typeof TABLE_FORMAT;
    readonly members: readonly Member[];
    readonly lost: readonly string[];
    readonly workerDomains: readonly string[];
    readonly workerSlices: readonly SliceEntry[];
    readonly homeSlices: readonly SliceEntry[];
}

/** Result of reading the table's text. */
export type ParsedTable =
    | { readonly kind: "table"; readonly table: OwnershipTable; }
    | { readonly kind: "unreadable"; readonly message: string; };

/**
 * Builds the table of a cell that has none: no members, nothing owned.
 * @returns The empty table.
 */
export function buildEmptyTable(): OwnershipTable {
    const nobody: SliceEntry = { epoch: 0, predecessor: Predecessor.none };
    return {
        format: TABLE_FORMAT,
        members: [],
        lost: [],
        workerDomains: [],
        workerSlices: new Array<SliceEntry>(WORKER_SLICES).fill(nobody),
        homeSlices: new Array<SliceEntry>(HOME_SLICES).fill(nobody),
    };
}

/**
 * Reads the table's text. A table of a newer format or a damaged one is refused, never replaced: replacing it
 * would let two programs of different versions own the same slice.
 * @param text - The record's value.
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
 * @param table - The table.
 */
export function encodeTable(table: OwnershipTable): string {
    return JSON.stringify(table);
}

/**
 * Returns the owner of a slice in the form that the roles use.
 * @param entry - The slice's entry, if the table has one.
 */
export function getOwner(entry: SliceEntry | undefined): SliceOwner | undefined {
    if (entry?.owner === undefined) {
        return undefined;
    }
    return { memberId: entry.owner, epoch: entry.epoch };
}
