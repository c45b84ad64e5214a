/** Changes of the ownership table, as functions from one table to the next. */
import { HOME_SLICES, WORKER_SLICES } from "../../version/settings.js";
import type { Member } from "../roles.js";
import { chooseOwners, listDomainsOfSlice } from "./assignment.js";
import { type OwnershipTable, Predecessor, type SliceEntry } from "./table.js";

/** Kinds of slice. */
export const SliceKind = {
    worker: "worker",
    home: "home",
} as const;
export type SliceKind = (typeof SliceKind)[keyof typeof SliceKind];

/** A slice of either kind. */
export interface SliceName {
    readonly kind: SliceKind;
    readonly slice: number;
}

/** A slice that should change its owner. */
export interface PlannedMove extends SliceName {
    readonly to: string;
}

/**
 * Adds a member. It gets the slices without an owner; no other slice moves yet.
 */
export function addMember(table: OwnershipTable, member: Member): OwnershipTable {
    const others = table.members.filter(each => each.memberId !== member.memberId);
    return assignUnowned({ ...table, members: [...others, member] });
}

/**
 * Removes members whose lease has lapsed and assigns their slices to others, in one step.
 * @param lapsed - Ids of the members to remove.
 */
export function removeLostMembers(table: OwnershipTable, lapsed: readonly string[]): OwnershipTable {
    const members = table.members.filter(member => !lapsed.includes(member.memberId));
    const orphan = (entry: SliceEntry): SliceEntry =>
        entry.owner !== undefined && lapsed.includes(entry.owner) ?
            { epoch: entry.epoch, predecessor: Predecessor.lost } :
            entry;
    return assignUnowned({
        ...table,
        members,
        lost: [...new Set([...table.lost, ...lapsed])],
        workerSlices: table.workerSlices.map(orphan),
        homeSlices: table.homeSlices.map(orphan),
    });
}

/**
 * Removes a member that leaves in order. Slices that it had not made ready keep their recorded predecessor.
 * @param memberId - The member that leaves; it has stopped acting on all its slices.
 * @param unready - Worker slices that it owned but never made ready.
 */
export function removeLeavingMember(
    table: OwnershipTable,
    memberId: string,
    unready: readonly number[],
): OwnershipTable {
    const release = (entry: SliceEntry, isUnready: boolean): SliceEntry =>
        entry.owner === memberId ?
            { epoch: entry.epoch, predecessor: isUnready ? entry.predecessor : Predecessor.released } :
            entry;
    return assignUnowned({
        ...table,
        members: table.members.filter(member => member.memberId !== memberId),
        workerSlices: table.workerSlices.map((entry, slice) => release(entry, unready.includes(slice))),
        homeSlices: table.homeSlices.map(entry => release(entry, false)),
    });
}

/**
 * Assigns slices to other members, except for slices that no longer belong to their owner.
 * @param owner - The current owner.
 * @param moves - The slices and their new owners.
 * @param ready - For each move, whether the current owner had made the slice ready.
 * @returns The new table, or the same object if none of the slices belongs to the owner.
 */
export function moveOwned(
    table: OwnershipTable,
    owner: string,
    moves: readonly PlannedMove[],
    ready: readonly boolean[],
): OwnershipTable {
    return moves.reduce(
        (moved, move, index) =>
            isOwner(moved, owner, move) ? moveSlice(moved, move, ready[index] ?? false) : moved,
        table,
    );
}

function moveSlice(table: OwnershipTable, move: PlannedMove, ready: boolean): OwnershipTable {
    const change = (entry: SliceEntry): SliceEntry => ({
        owner: move.to,
        epoch: entry.epoch + 1,
        predecessor: ready ? Predecessor.released : entry.predecessor,
    });
    return move.kind === SliceKind.worker ?
        { ...table, workerSlices: replaceAt(table.workerSlices, move.slice, change) } :
        { ...table, homeSlices: replaceAt(table.homeSlices, move.slice, change) };
}

/**
 * Adds failure domains of workers that the table does not list yet.
 * @param domains - Domains in the VM list.
 * @returns The new table, or the same object if no domain is new.
 */
export function addWorkerDomains(table: OwnershipTable, domains: readonly string[]): OwnershipTable {
    const added = domains.filter(domain => !table.workerDomains.includes(domain)).sort();
    if (added.length === 0) {
        return table;
    }
    return { ...table, workerDomains: [...table.workerDomains, ...added] };
}

/**
 * Lists the slices of a member that should belong to another one.
 * @param memberId - The current owner.
 */
export function listPlannedMoves(table: OwnershipTable, memberId: string): readonly PlannedMove[] {
    const moves: PlannedMove[] = [];
    const collect = (
        kind: SliceKind,
        entries: readonly SliceEntry[],
        planned: readonly (string | undefined)[],
    ): void => {
        entries.forEach((entry, slice) => {
            const to = planned[slice];
            if (entry.owner === memberId && to !== undefined && to !== memberId) {
                moves.push({ kind, slice, to });
            }
        });
    };
    collect(SliceKind.home, table.homeSlices, chooseHomeOwners(table));
    collect(SliceKind.worker, table.workerSlices, chooseWorkerOwners(table));
    return moves;
}

/** Lists the slices that a member owns. */
export function listOwnedSlices(table: OwnershipTable, memberId: string): readonly SliceName[] {
    const list = (kind: SliceKind, entries: readonly SliceEntry[]): readonly SliceName[] =>
        entries.flatMap((entry, slice) => entry.owner === memberId ? [{ kind, slice }] : []);
    return [...list(SliceKind.home, table.homeSlices), ...list(SliceKind.worker, table.workerSlices)];
}

/** Returns whether a slice belongs to a member. */
export function isOwner(table: OwnershipTable, memberId: string, name: SliceName): boolean {
    const entries = name.kind === SliceKind.worker ? table.workerSlices : table.homeSlices;
    return entries[name.slice]?.owner === memberId;
}

function assignUnowned(table: OwnershipTable): OwnershipTable {
    const assign =
        (planned: readonly (string | undefined)[]) => (entry: SliceEntry, slice: number): SliceEntry => {
            const owner = planned[slice];
            if (entry.owner !== undefined || owner === undefined) {
                return entry;
            }
            return { owner, epoch: entry.epoch + 1, predecessor: entry.predecessor };
        };
    return {
        ...table,
        workerSlices: table.workerSlices.map(assign(chooseWorkerOwners(table))),
        homeSlices: table.homeSlices.map(assign(chooseHomeOwners(table))),
    };
}

/**
 * Planned owners of each table. They are cached because a table never changes, the same table is checked
 * several times a second, and each check would compute as many hashes as there are slices times members.
 */
const plannedWorkerOwners = new WeakMap<OwnershipTable, readonly (string | undefined)[]>();
const plannedHomeOwners = new WeakMap<OwnershipTable, readonly (string | undefined)[]>();

function chooseWorkerOwners(table: OwnershipTable): readonly (string | undefined)[] {
    const known = plannedWorkerOwners.get(table);
    const owners = known ?? chooseOwners(
        SliceKind.worker,
        WORKER_SLICES,
        table.members,
        slice => listDomainsOfSlice(table.workerDomains, slice),
    );
    plannedWorkerOwners.set(table, owners);
    return owners;
}

function chooseHomeOwners(table: OwnershipTable): readonly (string | undefined)[] {
    const known = plannedHomeOwners.get(table);
    const owners = known ?? chooseOwners(SliceKind.home, HOME_SLICES, table.members, () => []);
    plannedHomeOwners.set(table, owners);
    return owners;
}

function replaceAt<Value>(
    values: readonly Value[],
    index: number,
    change: (value: Value) => Value,
): readonly Value[] {
    return values.map((value, position) => position === index ? change(value) : value);
}
