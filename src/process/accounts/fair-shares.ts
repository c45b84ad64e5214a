/**
 * Tells which client accounts use more than their share of the workers, by their dominant resource.
 *
 * @remarks Answers the load of accounts that together want more than the workers have. A share that others leave unused
 * is lent: an account beyond its share still starts work, but behind that of the others, and is never stopped for them.
 */
import type { Resources } from "../../common/resources.js";
import type { AccountConfig } from "../../version/cluster-config.js";
import type { AccountUse } from "./account-use.js";

/** Accounts fluctuate around their share: only a clear excess counts. */
const EXCESS_FACTOR = 2;
/** Share of the workers in use below which nobody lacks anything. */
const SCARCE_FROM = 0.7;

/** The accounts beyond their share in one planning pass. */
export class FairShares {
    private readonly beyond = new Set<string>();

    /**
     * @param accounts - The accounts in force; undefined if there are none.
     * @param use - What their runs use.
     * @param capacity - Capacity of all usable workers.
     */
    constructor(accounts: readonly AccountConfig[] = [], use: AccountUse, capacity: Resources) {
        const shares = accounts.map(account => ({
            account,
            share: computeDominantShare(use.get(account.name), capacity),
        }));
        const usedShare = shares.reduce((sum, { share }) => sum + share, 0);
        if (usedShare < SCARCE_FROM) {
            return;
        }
        const weights = accounts.reduce((sum, { weight }) => sum + weight, 0);
        for (const { account: { name, weight }, share } of shares) {
            if (share * weights > usedShare * weight * EXCESS_FACTOR) {
                this.beyond.add(name);
            }
        }
    }

    /** Tells whether an account uses more than its share while others may lack theirs. */
    isBeyond(account: string | undefined): boolean {
        return account !== undefined && this.beyond.has(account);
    }
}

function computeDominantShare(use: Resources, capacity: Resources): number {
    return Math.max(
        computeShare(use.cpuMillis, capacity.cpuMillis),
        computeShare(use.memoryMib, capacity.memoryMib),
        computeShare(use.accelerators, capacity.accelerators),
    );
}

function computeShare(part: number, whole: number): number {
    return whole === 0 ? 0 : part / whole;
}
