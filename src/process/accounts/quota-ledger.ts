/** Limits what one planning pass starts to what the quotas of client accounts leave. */
import { addResources, countFitting, removeResources } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { AccountConfig } from "../../version/cluster-config.js";
import type { AccountUse } from "./account-use.js";

/** What the quotas of a pass's accounts leave, less what the pass has planned. */
export class QuotaLedger {
    private readonly leftByAccount = new Map<string, Resources>();

    /**
     * @param accounts - The accounts in force; undefined if there are none.
     * @param use - What runs, is being started or stopped, or may still run.
     */
    constructor(accounts: readonly AccountConfig[] | undefined, use: AccountUse) {
        for (const { name, quota } of accounts ?? []) {
            if (isLimited(quota)) {
                this.leftByAccount.set(name, removeResources(replaceUnlimited(quota), use.get(name)));
            }
        }
    }

    /** Counts the tasks of one demand that an account may start now; infinite without a quota. */
    countPlaces(account: string | undefined, demand: Resources): number {
        const left = account === undefined ? undefined : this.leftByAccount.get(account);
        return left === undefined ? Infinity : countFitting(demand, left);
    }

    /** Deducts tasks that the pass starts, or for which it keeps workers. */
    take(account: string | undefined, demand: Resources): void {
        this.update(account, left => removeResources(left, demand));
    }

    /** Returns what was deducted for a task that the pass does not start after all. */
    release(account: string | undefined, demand: Resources): void {
        this.update(account, left => addResources(left, demand));
    }

    private update(account: string | undefined, compute: (left: Resources) => Resources): void {
        const left = account === undefined ? undefined : this.leftByAccount.get(account);
        if (account !== undefined && left !== undefined) {
            this.leftByAccount.set(account, compute(left));
        }
    }
}

/** Tells whether a quota could ever hold a number of tasks at once. */
export function canQuotaHold(quota: Resources, demand: Resources, tasks: number): boolean {
    return countFitting(demand, replaceUnlimited(quota)) >= tasks;
}

function isLimited({ cpuMillis, memoryMib, accelerators }: Resources): boolean {
    return cpuMillis > 0 || memoryMib > 0 || accelerators > 0;
}

/** In a quota, 0 means no limit. */
function replaceUnlimited({ cpuMillis, memoryMib, accelerators }: Resources): Resources {
    return {
        cpuMillis: cpuMillis === 0 ? Infinity : cpuMillis,
        memoryMib: memoryMib === 0 ? Infinity : memoryMib,
        accelerators: accelerators === 0 ? Infinity : accelerators,
    };
}
