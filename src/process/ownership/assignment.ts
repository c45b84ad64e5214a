/**
 * Which member should own which slice: rendezvous hashing with a bound on the load of a member. Every entry
 * that holds the same table computes the same result.
 */
import { hashText } from "../../common/hash.js";
import { WORKER_SLICES } from "../../version/settings.js";
import type { Member } from "../roles.js";

/** Number of groups of worker slices; the racks of one failure domain all lie in one group. */
export const DOMAIN_GROUPS = 8;

const SLICES_PER_GROUP = WORKER_SLICES / DOMAIN_GROUPS;

/**
 * Maximum load of a member in even shares; above 1, so that most slices keep their owner when members change.
 */
const LOAD_BOUND = 1.25;

/**
 * Finds the worker slice of a rack.
 * @param domains - Failure domains of workers in the order of the ownership table.
 * @param failureDomain - Domain of the rack.
 * @param rack - Name of the rack, unique within the domain.
 * @returns The slice, or undefined while the table does not list the domain.
 */
export function findWorkerSlice(
    domains: readonly string[],
    failureDomain: string,
    rack: string,
): number | undefined {
    const index = domains.indexOf(failureDomain);
    if (index < 0) {
        return undefined;
    }
    const group = index % DOMAIN_GROUPS;
    return group * SLICES_PER_GROUP + hashText(`${failureDomain}/${rack}`) % SLICES_PER_GROUP;
}

/**
 * Lists the failure domains whose racks can lie in a worker slice.
 * @param domains - Failure domains of workers in the order of the ownership table.
 */
export function listDomainsOfSlice(domains: readonly string[], slice: number): readonly string[] {
    const group = Math.floor(slice / SLICES_PER_GROUP);
    return domains.filter((domain, index) => domain !== "" && index % DOMAIN_GROUPS === group);
}

/**
 * Chooses an owner for every slice of a kind.
 * @param kind - Name of the kind, part of the hashed text.
 * @param count - Number of slices.
 * @param listAvoided - Returns the failure domains whose members should not own the slice, since the failure
 * of a domain must not take down a worker together with its owner.
 * @returns The member id for each slice; undefined if there are no members.
 */
export function chooseOwners(
    kind: string,
    count: number,
    members: readonly Member[],
    listAvoided: (slice: number) => readonly string[],
): readonly (string | undefined)[] {
    const bound = Math.ceil(count / Math.max(1, members.length) * LOAD_BOUND);
    const load = new Map<string, number>();
    const owners: (string | undefined)[] = [];
    for (let slice = 0; slice < count; slice++) {
        const avoided = listAvoided(slice);
        const ranked = rankMembers(kind, slice, members);
        const owner = ranked.find(member =>
            !avoided.includes(member.failureDomain) && isBelowBound(load, member, bound)
        ) ??
            ranked.find(member =>
                isBelowBound(load, member, bound)
            ) ??
            ranked[0];
        owners.push(owner?.memberId);
        if (owner !== undefined) {
            load.set(owner.memberId, (load.get(owner.memberId) ?? 0) + 1);
        }
    }
    return owners;
}

function isBelowBound(load: ReadonlyMap<string, number>, member: Member, bound: number): boolean {
    return (load.get(member.memberId) ?? 0) < bound;
}

function rankMembers(kind: string, slice: number, members: readonly Member[]): readonly Member[] {
    const scored = members.map(member => ({
        member,
        score: hashText(`${kind}/${slice}/${member.memberId}`),
    }));
    scored.sort((left, right) =>
        right.score - left.score || (left.member.memberId < right.member.memberId ? -1 : 1)
    );
    return scored.map(entry => entry.member);
}
